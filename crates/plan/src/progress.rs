//! Monitoring of the progress of runs.

use std::time::Duration;

use crate::{
    action::StopCause,
    listing::ListedRun,
    planner::Planner,
    target::{Phase, TargetId},
};

impl Planner {
    /// Samples the speed of a run, and stops the run if it stalls, so that its
    /// task starts elsewhere.
    pub(crate) fn track_progress(&mut self, id: TargetId, listed: &ListedRun, now: Duration) {
        /// Progress at which a run counts as complete. The members of a gang
        /// wait for one another there.
        const COMPLETE_PERCENT: u32 = 99;
        /// Time between speed samples of a run.
        const SAMPLE_INTERVAL: Duration = Duration::from_millis(700);
        let Some(job) = self.jobs.get(&listed.task.step.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(listed.task.step.step)) else {
            return;
        };
        if step.long_running {
            if let Some(run) = self.targets[id.0 as usize].runs.get_mut(&listed.task) {
                run.progress = Some((listed.percent, now));
            }
            return;
        }
        if step.estimate_ms == 0 {
            return;
        }
        // The members of a gang advance at the speed of the slowest one, so
        // they say nothing about the speed of their target.
        let is_independent = !step.gang;
        let target = &mut self.targets[id.0 as usize];
        let Some(run) = target.runs.get_mut(&listed.task) else {
            return;
        };
        let (percent, since) = *run.progress.get_or_insert((listed.percent, now));
        if percent != listed.percent {
            run.progress = Some((listed.percent, now));
        } else if now.saturating_sub(since) > self.settings.stall_timeout
            && run.phase == Phase::Running
            && (is_independent || percent > 0)
            && percent < COMPLETE_PERCENT
        {
            let number = run.number;
            self.record_failed_run(id, &listed.task, now);
            return self.stop_run(id, &listed.task, number, StopCause::Stuck, now);
        }
        let (percent, sampled_at) = *run.last_sample.get_or_insert((listed.percent, now));
        let elapsed = now.saturating_sub(sampled_at);
        if !is_independent || elapsed < SAMPLE_INTERVAL {
            return;
        }
        run.last_sample = Some((listed.percent, now));
        // Progress below one percent is rounded to 0.
        let advance = f64::from(listed.percent.saturating_sub(percent)).max(0.5);
        let ratio = elapsed.as_millis() as f64 * 100.0 / advance / f64::from(step.estimate_ms);
        let queue = job.spec.queue.clone();
        let state = self.step_state_mut(&listed.task.step);
        let others = state.and_then(|state| state.speeds.compare(id, ratio, now));
        let baseline = self.run_baselines.entry(queue).or_default();
        let speed = &mut self.targets[id.0 as usize].speed;
        speed.record_progress(&listed.task, ratio, others, baseline, now);
    }
}

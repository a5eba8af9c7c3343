//! Taking over what an earlier placer left.

use std::{sync::Arc, time::Duration};

use base::Name;
use work::{StepKey, TaskKey};

use crate::{
    board::Board,
    listing::RunSeen,
    step::TaskState,
    target::{Availability, Phase, Run, Target, TargetId},
};

impl Board {
    /// Gets the targets that don't answer, with all that may run on them, as far
    /// as all their ends are recorded.
    pub fn silent_targets(&self) -> Vec<(Name, Vec<(TaskKey, u32)>)> {
        let known = |target: &&Target| {
            target.heard.is_none()
                && target.seen == target.recorded
                && !self.unclaimed.contains(&target.facts.id)
        };
        let runs = |target: &Target| {
            target.runs.iter().map(|(task, run)| (task.clone(), run.number)).collect()
        };
        let silent = self.targets.iter().filter(known);
        silent.map(|target| (target.facts.id.clone(), runs(target))).collect()
    }

    /// Takes over what the placer before knew of a target that didn't answer it.
    /// Runs of it count until the target answers or its lease has surely lapsed.
    pub fn adopt_silent(&mut self, target: &Name, runs: &[(TaskKey, u32)], now: Duration) {
        self.unclaimed.remove(target);
        let id = self.target_id(target);
        let account = &mut self.targets[id.0 as usize];
        account.facts.id = target.clone();
        account.facts.availability = Availability::Unlisted;
        account.granted = Some(now);
        for (task, run) in runs {
            let seen = RunSeen { task: task.clone(), run: *run, checkpoint: None, percent: 0 };
            // A run that isn't wanted is stopped once the target answers.
            let _ = self.adopt_run(id, &seen, now);
        }
    }

    /// Takes over a run of an earlier placer; `false` if it is not wanted.
    pub(crate) fn adopt_run(&mut self, id: TargetId, seen: &RunSeen, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&seen.task.step.job) else {
            return false;
        };
        let spec = Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(usize::from(seen.task.step.step)) else {
            return false;
        };
        if self.targets[id.0 as usize].runs.contains_key(&seen.task) {
            return false;
        }
        // What runs takes room, wanted or not. An earlier placer may have granted
        // a lease up to now.
        let run = Run { settled: Some(now), ..Run::new(seen.run, step, Phase::Running) };
        self.count_run(id, &seen.task, &spec.team, run, now);
        if !self.step_state(&seen.task.step).is_some_and(|state| state.is_open) {
            self.begin_adopted(&seen.task.step, now);
        }
        let Some(state) = self.step_state_mut(&seen.task.step) else {
            return false;
        };
        let Some(task) = state.tasks.get_mut(seen.task.index as usize) else {
            return false;
        };
        if task.state != TaskState::Waiting {
            return false;
        }
        task.state = TaskState::Assigned { target: id, run: seen.run };
        task.run = task.run.max(seen.run);
        state.waiting.remove(&seen.task.index);
        if let Some(checkpoint) = &seen.checkpoint {
            self.save_checkpoint(&seen.task, checkpoint);
        }
        self.note_started(&seen.task.step.job);
        true
    }

    /// Begins the occurrence that an adopted run is of.
    pub(crate) fn begin_adopted(&mut self, key: &StepKey, now: Duration) {
        while self.jobs.get(&key.job).is_some_and(|job| {
            !job.state.is_final()
                && job.next <= key.occurrence
                && key.occurrence < job.spec.occurrences()
        }) {
            self.begin_next(&key.job, now);
        }
    }
}

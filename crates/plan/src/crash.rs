//! Crashes of targets, and the tasks that ran there.
//!
//! A task may crash each target that starts it. A target that comes back as
//! another process has crashed, unless it had been drained. The tasks of which
//! runs may have been there are then suspects, except those that are cleared by
//! a run that has ended well or has lasted. A suspect starts
//! alone on its target if there is an empty one, and a step has one such target
//! at a time until one of its tasks is done. A crash proves that a task is the
//! cause only if no task of another job is in question, and its run is known to
//! have begun or no other run was on the target: a target may crash before it
//! answers the start. A task with three proofs is given up. Equal tasks of a
//! step count together until one of them is done, but at least two targets must have
//! crashed under the task that is given up: several that crash at once, each under
//! another task, have another cause. A long-running task is never given up, but is
//! kept apart.
//!
//! Targets also crash for other reasons, often many at once. Crashes prove
//! nothing while many targets without runs of the job crash or become
//! unreachable as well, unless a few other jobs may be the cause of all of
//! these. A task that was alone in twelve crashes is given up all the same,
//! proven or not. Crashes do not count at all while targets crash that no task
//! can have crashed.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use base::Name;
use work::{JobState, Step, StepKey, TaskKey};

use crate::{
    listing::Listing,
    planner::Planner,
    target::{Availability, Phase, Run, Target, TargetId},
};

/// Number of proven crashes, those under equal tasks included, before a task is given
/// up.
const MAX_CRASHES: u32 = 3;

/// Number of crashes under the task itself before it is given up. Targets that crash
/// at once for another reason do so under different tasks of a step.
const MIN_OWN_CRASHES: usize = 2;

/// Time for which a run has to last to clear its task.
const CLEARING_TIME: Duration = Duration::from_secs(60);

/// Number of crashes in which a task was alone, proven or not, before it is given
/// up. Jobs that crash targets one after the other would otherwise make crashes
/// widespread for good. A sound task is rarely met so often; with a limit of 8, one
/// was given up in 31 waves that crashed half of the targets each.
const MAX_LONE_CRASHES: u32 = 12;

/// Time within which crashes of several targets count as having one cause. Targets
/// that crash together come back within a few seconds of each other.
const CRASH_WINDOW: Duration = Duration::from_secs(3);

/// Minimum number of crashed or silent targets that show another cause than a
/// job, and minimum share of the listed targets, as a divisor. Ordinary crashes
/// take 0.14 of the targets or more; jobs that crash targets are a few percent.
const MIN_WIDESPREAD: usize = 3;

/// Number of crashes of which no task can be the cause, after which others prove
/// nothing at all. Jobs that crash targets never cause such crashes.
const MIN_CAUSELESS: usize = 2;

/// Share of the listed targets, as a divisor, and time within which so many crash
/// that known suspects don't explain it.
const WAVE_DIVISOR: usize = 10;
const WAVE_WINDOW: Duration = Duration::from_secs(2);
const WIDESPREAD_DIVISOR: usize = 20;

/// Run that was lost in a crash, or given up because the lease had expired.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    pub(crate) task: TaskKey,
    pub(crate) run: u32,
    /// Whether the run is known to have begun.
    has_begun: bool,
    /// Whether the run had lasted, so that it is not the cause.
    has_lasted: bool,
}

impl LostRun {
    pub(crate) fn new(task: &TaskKey, run: &Run, now: Duration) -> Self {
        let lasted = run.confirmed_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        Self {
            task: task.clone(),
            run: run.number,
            has_begun: run.has_begun,
            has_lasted: run.has_begun && lasted >= CLEARING_TIME,
        }
    }
}

/// Crashes of targets within the last few seconds.
#[derive(Debug, Default)]
pub(crate) struct RecentCrashes {
    crashes: Vec<RecentCrash>,
    /// Runs that were taken for the cause of a crash.
    proofs: Vec<(Duration, LostRun)>,
}

#[derive(Debug)]
struct RecentCrash {
    at: Duration,
    target: Name,
    /// Jobs that may have been the cause.
    jobs: Vec<Name>,
    /// Whether one of them was a suspect before.
    is_explained: bool,
}

impl RecentCrashes {
    fn insert(&mut self, crash: RecentCrash) {
        self.crashes.retain(|known| {
            crash.at.saturating_sub(known.at) <= CRASH_WINDOW && known.target != crash.target
        });
        self.crashes.push(crash);
    }

    fn contains(&self, target: &Name) -> bool {
        self.crashes.iter().any(|crash| crash.target == *target)
    }

    /// Returns the number of causes, up to `max`, of the crashes within the last
    /// seconds of which neither this job nor a known suspect may be the cause.
    fn count_without(&self, job: &Name, max: usize, now: Duration) -> usize {
        let is_recent = |crash: &&RecentCrash| now.saturating_sub(crash.at) <= CRASH_WINDOW;
        let recent = self.crashes.iter().filter(is_recent);
        let unexplained = recent.filter(|crash| !crash.is_explained && !crash.jobs.contains(job));
        count_causes(unexplained, max)
    }

    /// Returns whether targets have crashed of which no task can be the cause.
    fn has_causeless(&self, now: Duration) -> bool {
        let is_recent = |crash: &&RecentCrash| now.saturating_sub(crash.at) <= CRASH_WINDOW;
        let recent = self.crashes.iter().filter(is_recent);
        recent.filter(|crash| crash.jobs.is_empty()).count() >= MIN_CAUSELESS
    }

    /// Returns the number of causes, up to `max`, of the crashes within a short time
    /// of which neither this job can be the cause, nor a suspect that was alone.
    fn wave_without(&self, job: &Name, max: usize, now: Duration) -> usize {
        let is_recent = |crash: &&RecentCrash| now.saturating_sub(crash.at) <= WAVE_WINDOW;
        let recent = self.crashes.iter().filter(is_recent);
        let others = recent.filter(|crash| !crash.jobs.contains(job));
        count_causes(others.filter(|crash| !crash.is_explained || crash.jobs.len() != 1), max)
    }
}

/// Returns an estimate of the least number of causes that explain the crashes, up
/// to `max`: one job may have crashed all targets on which it had runs. The limit
/// bounds the work when most targets crash.
fn count_causes<'a>(crashes: impl Iterator<Item = &'a RecentCrash>, max: usize) -> usize {
    let mut rest: Vec<&RecentCrash> = crashes.collect();
    let mut causes = 0;
    while causes < max && !rest.is_empty() {
        let mut counts: HashMap<&Name, usize> = HashMap::new();
        for job in rest.iter().flat_map(|crash| &crash.jobs) {
            *counts.entry(job).or_default() += 1;
        }
        let Some((job, _)) = counts.into_iter().max_by_key(|(job, count)| (*count, *job)) else {
            // No job can have caused any of the others.
            return max.min(causes + rest.len());
        };
        rest.retain(|crash| !crash.jobs.contains(job));
        causes += 1;
    }
    causes
}

/// What a crash shows of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The task, or one of others, may be the cause.
    Possible,
    /// The task was alone, but many targets crash.
    Unproven,
    /// The task is the cause.
    Proven,
}

/// Crash of a target under a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Target that crashed.
    pub target: Name,
    /// Task that had a run on the target.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Number of proven crashes that count against the task so far.
    pub crashes: u32,
    /// What the crash shows of the task.
    pub verdict: Verdict,
    /// Whether the task is given up, and its job fails.
    pub is_given_up: bool,
}

impl Planner {
    /// Removes and returns the crashes that were counted since the last call.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }

    /// Forgets the crashes under a task, and its failures, if its run, confirmed
    /// at `confirmed_at`, has lasted.
    pub(crate) fn clear_lasting(
        &mut self,
        id: TargetId,
        key: &TaskKey,
        confirmed_at: Option<Duration>,
        now: Duration,
    ) {
        if let Some(confirmed_at) = confirmed_at {
            self.clear_target(id, key, confirmed_at, now);
        }
        if confirmed_at.is_none_or(|at| now.saturating_sub(at) < CLEARING_TIME) {
            return;
        }
        let state = self.step_state_mut(&key.step);
        let Some(task) = state.and_then(|state| state.tasks.get_mut(key.index as usize)) else {
            return;
        };
        task.failed_targets.clear();
        task.crashed_runs.clear();
        task.unproven_crashes = 0;
        task.lost_runs.clear();
        if std::mem::take(&mut task.is_suspect) {
            self.mark_unrecorded(&key.step.job, now);
        }
    }

    /// Records that another process is at the address of a target.
    pub fn target_replaced(&mut self, target: &str, now: Duration) {
        if let Some(&id) = self.target_ids.get(target) {
            self.count_crash(id, |_, run| run.phase != Phase::Starting, now);
        }
    }

    /// Records that a target has started again since its last listing, as the
    /// listing that was requested at `requested_at` shows.
    pub(crate) fn target_restarted(
        &mut self,
        id: TargetId,
        requested_at: Duration,
        listing: &Listing,
        now: Duration,
    ) {
        let is_listed = |task: &TaskKey, number: u32| {
            let mut running = listing.running.iter().map(|listed| (&listed.task, listed.run));
            let mut ended = listing.ended.iter().map(|end| (&end.task, end.run));
            running.any(|run| run == (task, number)) || ended.any(|run| run == (task, number))
        };
        // Later orders may have reached the new process.
        let was_sent_before = |run: &Run| match run.phase {
            Phase::Starting => false,
            Phase::Unanswered(since) => since <= requested_at,
            Phase::Running | Phase::Stopping(_) => {
                run.confirmed_at.is_none_or(|confirmed| confirmed < requested_at)
            }
        };
        let is_lost =
            |task: &TaskKey, run: &Run| was_sent_before(run) && !is_listed(task, run.number);
        self.count_crash(id, is_lost, now);
    }

    /// Judges the crash of a target by the runs that were lost with it.
    fn count_crash(
        &mut self,
        id: TargetId,
        is_lost: impl Fn(&TaskKey, &Run) -> bool,
        now: Duration,
    ) {
        let target = &mut self.targets[id.0 as usize];
        let mut lost = std::mem::take(&mut target.lapsed_runs);
        if std::mem::take(&mut target.has_drained) {
            return;
        }
        let runs = target.runs.iter().filter(|(task, run)| is_lost(task, run));
        lost.extend(runs.map(|(task, run)| LostRun::new(task, run, now)));
        let target = target.info.id.clone();
        let is_alone = lost.len() == 1;
        lost.retain(|run| !run.has_lasted && self.may_have_crashed(&run.task));
        let mut jobs: Vec<Name> = lost.iter().map(|run| run.task.step.job.clone()).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let is_known_suspect = lost.iter().any(|run| {
            let task = self.step_state(&run.task.step).map(|state| &state.tasks);
            let task = task.and_then(|tasks| tasks.get(run.task.index as usize));
            task.is_some_and(|task| task.is_suspect)
        });
        self.recent_crashes.insert(RecentCrash {
            at: now,
            target: target.clone(),
            jobs: jobs.clone(),
            is_explained: is_known_suspect,
        });
        self.retract_proofs(now);
        // Only the tasks of one job can have been the cause. A start without an answer
        // may not have reached the target, so it counts only without other runs there.
        let is_proof = |run: &LostRun| jobs.len() == 1 && (run.has_begun || is_alone);
        let proofs = lost.iter().enumerate().filter(|(_, run)| is_proof(run));
        let cause =
            proofs.max_by_key(|(position, run)| (self.own_crashes(&run.task), Reverse(*position)));
        if let Some((position, _)) = cause {
            // The crash counts once, whatever number of tasks of the job was there,
            // and against the one that is most likely to be the cause.
            let cause = lost.swap_remove(position);
            let verdict = if self.recent_crashes.has_causeless(now) {
                Verdict::Possible
            } else if !self.is_widespread(&cause.task.step.job, now) {
                Verdict::Proven
            } else if cause.has_begun {
                Verdict::Unproven
            } else {
                Verdict::Possible
            };
            self.record_crash(&target, &cause, verdict, now);
        }
        for run in lost {
            self.record_crash(&target, &run, Verdict::Possible, now);
        }
    }

    /// Returns whether a task may be the cause of a crash: it is not done.
    fn may_have_crashed(&self, task: &TaskKey) -> bool {
        self.step_state(&task.step).is_some_and(|state| state.may_crash(task.index))
    }

    /// Returns the number of targets that have crashed under a task, as far as it
    /// matters.
    fn own_crashes(&self, task: &TaskKey) -> usize {
        let state = self.step_state(&task.step);
        let task = state.and_then(|state| state.tasks.get(task.index as usize));
        task.map_or(0, |task| task.lost_runs.len())
    }

    /// Returns whether a suspect of another job than `job` runs on a target and may
    /// still be found to crash it.
    pub(crate) fn has_lone_suspect(&self, id: TargetId, job: &Name) -> bool {
        let mut runs = self.targets[id.0 as usize].runs.iter();
        runs.any(|(task, run)| {
            run.is_suspect && task.step.job != *job && self.may_have_crashed(task)
        })
    }

    /// Retains one of the chosen targets if the tasks of the step may all crash
    /// theirs: the one that runs them, or else the first.
    pub(crate) fn retain_tried_target(
        &self,
        key: &StepKey,
        step: &Step,
        chosen: &mut Vec<TargetId>,
    ) {
        let state = self.step_state(key).filter(|state| state.is_on_trial());
        let Some(state) = state.filter(|_| !step.gang && !step.long_running) else {
            return;
        };
        let is_heard = |id: &TargetId| self.targets[id.0 as usize].last_contact_at.is_some();
        let tried = state.current_runs().map(|run| run.target).find(is_heard);
        let tried = tried.or_else(|| chosen.first().copied());
        chosen.retain(|id| Some(*id) == tried);
    }

    /// Returns whether so many targets without runs of the job have crashed or
    /// fallen silent lately that the crashes have another cause.
    fn is_widespread(&self, job: &Name, now: Duration) -> bool {
        let listed =
            || self.targets.iter().filter(|t| t.info.availability != Availability::Unlisted);
        let min = MIN_WIDESPREAD.max(listed().count() / WIDESPREAD_DIVISOR);
        let is_silent = |target: &&Target| {
            let runs = target.runs.keys().chain(target.lapsed_runs.iter().map(|run| &run.task));
            target.last_contact_at.is_none()
                && runs.into_iter().all(|task| task.step.job != *job)
                && !self.recent_crashes.contains(&target.info.id)
        };
        let crashed = self.recent_crashes.count_without(job, min, now);
        let min_wave = (MIN_WIDESPREAD + 1).max(listed().count() / WAVE_DIVISOR);
        crashed >= min
            || self.recent_crashes.wave_without(job, min_wave, now) >= min_wave
            || crashed + listed().filter(is_silent).count() >= min
    }

    /// Takes back recent proofs if the crashes turn out to be widespread.
    fn retract_proofs(&mut self, now: Duration) {
        let proofs = std::mem::take(&mut self.recent_crashes.proofs);
        for (at, lost) in proofs {
            let LostRun { task, run, has_begun, .. } = &lost;
            if now.saturating_sub(at) > CRASH_WINDOW {
                continue;
            }
            let is_causeless = self.recent_crashes.has_causeless(now);
            if !is_causeless && !self.is_widespread(&task.step.job, now) {
                self.recent_crashes.proofs.push((at, lost));
                continue;
            }
            if let Some(state) = self.step_state_mut(&task.step)
                && let Some(task) = state.tasks.get_mut(task.index as usize)
            {
                let count = task.crashed_runs.len();
                task.crashed_runs.retain(|known| known != run);
                if *has_begun && !is_causeless {
                    task.unproven_crashes += (count - task.crashed_runs.len()) as u32;
                }
            }
            self.mark_unrecorded(&task.step.job, now);
        }
    }

    /// Records that a task may have crashed a target, or is proven to have.
    fn record_crash(&mut self, target: &Name, lost: &LostRun, verdict: Verdict, now: Duration) {
        let LostRun { task: key, run, .. } = lost;
        let is_long_running = self.jobs.get(&key.step.job).is_some_and(|job| {
            job.spec.steps.get(usize::from(key.step.step)).is_some_and(|step| step.long_running)
        });
        let Some(state) = self.step_state_mut(&key.step) else {
            return;
        };
        let Some(task) = state.tasks.get_mut(key.index as usize) else {
            return;
        };
        if task.crashed_runs.contains(run) {
            return;
        }
        task.is_suspect = true;
        let is_under_task = lost.has_begun || verdict != Verdict::Possible;
        if is_under_task && task.lost_runs.len() < MIN_OWN_CRASHES && !task.lost_runs.contains(run)
        {
            task.lost_runs.push(*run);
        }
        let own_crashes = task.lost_runs.len();
        let verdict = if is_long_running { Verdict::Possible } else { verdict };
        match verdict {
            Verdict::Proven => task.crashed_runs.push(*run),
            Verdict::Unproven => task.unproven_crashes += 1,
            Verdict::Possible => {}
        }
        let (crashes, unproven) = state.crash_counts(key.index);
        let is_given_up = verdict != Verdict::Possible
            && own_crashes >= MIN_OWN_CRASHES
            && (crashes >= MAX_CRASHES || crashes + unproven >= MAX_LONE_CRASHES);
        let job = key.step.job.clone();
        self.mark_unrecorded(&job, now);
        if verdict == Verdict::Proven {
            self.recent_crashes.proofs.push((now, lost.clone()));
        }
        let (target, task) = (target.clone(), key.clone());
        self.crashes.push(Crash { target, task, run: *run, crashes, verdict, is_given_up });
        if is_given_up {
            self.end_job(&job, JobState::Failed, now);
        }
    }
}

//! Probes of suspected targets by work that has no other room.
//!
//! A suspected target is probed when its back-off ends. Work that finds no room
//! on other targets need not wait for that: it may probe sooner, but at most one
//! task at a time and at a bounded rate. Otherwise sound tasks that failed for a common
//! cause, as a database that is away, have all targets suspected and wait beside empty
//! ones. A task whose failure would fail its job waits longer, for work that has more
//! attempts left; if none comes, it is the probe.
//!
//! Work that is known to be sound goes first, since it tells most about the
//! target, then the work of the teams with the fewest probes. Other than sound
//! work, a team may use half of the suspected targets of a pool, and the others
//! only if nothing else has used them meanwhile, so that the failing work of one
//! team can't take up all probes.

use std::{collections::HashMap, time::Duration};

use base::Name;
use smallvec::SmallVec;
use work::{Spec, StepKey};

use crate::{
    planner::Planner,
    round::{Headroom, Round},
    search::{FullShapes, needs_only_room},
    step::{StepState, Task},
    target::{Target, TargetId},
};

/// Maximum number of steps for which suspected targets are searched in one
/// round.
const MAX_SEARCHES: usize = 64;

/// Target that got a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Suspected target.
    pub target: Name,
    /// Job whose task is the probe.
    pub job: Name,
    /// What was known of the task.
    pub soundness: Soundness,
}

/// What is known of the tasks of a step; the best probes come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Soundness {
    /// Tasks of the step are done, and none that waits has failed.
    Sound,
    /// Nothing is known.
    Unknown,
    /// A task that waits has failed.
    Failing,
    /// A task that waits has failed on several targets.
    Faulty,
}

impl Soundness {
    /// Returns what is known of the waiting tasks of a step.
    pub(crate) fn of(state: &StepState) -> Self {
        let waiting = state.waiting.iter().filter_map(|index| state.tasks.get(*index as usize));
        let of_tasks = waiting.map(|task| Self::of_task(task, state.done_count));
        of_tasks.max().unwrap_or(Self::Unknown)
    }

    /// Returns what is known of a task of a step with this number of tasks that
    /// are done.
    pub(crate) fn of_task(task: &Task, done_count: u32) -> Self {
        if task.is_faulty() {
            Self::Faulty
        } else if !task.failed_targets.is_empty() || !task.failed_runs.is_empty() {
            Self::Failing
        } else if done_count > 0 {
            Self::Sound
        } else {
            Self::Unknown
        }
    }

    /// Returns whether tasks of the step have failed.
    pub(crate) fn has_failed(self) -> bool {
        self >= Self::Failing
    }
}

/// Decides which suspected targets take a step's tasks as early probes.
#[derive(Debug)]
pub(crate) struct ProbeFilter {
    soundness: Soundness,
    team: Name,
    /// Number of further targets that the team may use.
    left: usize,
    /// Which targets to probe if a failure would fail the job; `None` if it would not.
    last_attempt: Option<LastAttempt>,
    /// Targets on which waiting tasks have failed.
    failed_targets: SmallVec<[TargetId; 3]>,
}

/// Which targets get a task at its last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastAttempt {
    /// Those that no other work has used when a regular probe was due.
    Overdue,
    /// Those that no other work has used for an early probe, as there is no sound
    /// target in the pool.
    EarlyOverdue,
}

impl ProbeFilter {
    /// Returns whether a suspected target takes a task of the step.
    pub(crate) fn takes(&mut self, target: &Target, now: Duration) -> bool {
        match self.last_attempt {
            Some(LastAttempt::Overdue) => return target.health.is_probe_overdue(now),
            Some(LastAttempt::EarlyOverdue) => return target.health.is_early_probe_overdue(now),
            None => {}
        }
        if self.soundness == Soundness::Sound || target.health.is_early_probe_overdue(now) {
            return true;
        }
        if self.soundness == Soundness::Faulty {
            return false;
        }
        let is_own = target.probed_by.as_ref() == Some(&self.team);
        let is_left = is_own || self.left > 0;
        if !is_own {
            self.left = self.left.saturating_sub(1);
        }
        is_left
    }

    /// Returns whether a failure of a waiting task of the step would fail its job.
    pub(crate) fn is_last_attempt(&self) -> bool {
        self.last_attempt.is_some()
    }

    /// Returns whether a waiting task of the step has failed on a target.
    pub(crate) fn has_failed_on(&self, id: TargetId) -> bool {
        self.failed_targets.contains(&id)
    }
}

impl Planner {
    /// Returns which early probes the tasks of a step may be, where `open` are the
    /// targets of the pool that may get work.
    pub(crate) fn probe_filter(
        &self,
        key: &StepKey,
        open: &[TargetId],
        headrooms: &[Headroom],
    ) -> Option<ProbeFilter> {
        let (job, state) = self.jobs.get(&key.job).zip(self.step_state(key))?;
        let (soundness, team) = (Soundness::of(state), job.spec.team.clone());
        let service = &self.config.policy(&job.spec.queue, &job.spec.policy).service;
        let left = self.probes_left(service, &team);
        let is_sound = |id: &TargetId| headrooms[id.0 as usize].probe.is_none();
        let last_attempt = self.has_last_attempts(key).then(|| {
            if open.iter().any(is_sound) { LastAttempt::Overdue } else { LastAttempt::EarlyOverdue }
        });
        let waiting = state.waiting.iter().filter_map(|index| state.tasks.get(*index as usize));
        let failed_targets = waiting.flat_map(|task| &task.failed_targets).copied().collect();
        Some(ProbeFilter { soundness, team, left, last_attempt, failed_targets })
    }

    /// Removes and returns the probes since the last call.
    pub fn take_probes(&mut self) -> Vec<Probe> {
        std::mem::take(&mut self.probes)
    }

    /// Places the steps that found no room, in order of rank, on suspected targets
    /// as well.
    pub(crate) fn place_probes(&mut self, steps: &[StepKey], round: &mut Round, now: Duration) {
        if !round.has_probes() {
            return;
        }
        let mut candidates: Vec<(Soundness, &StepKey)> = steps
            .iter()
            .filter(|key| self.may_probe(key))
            .filter_map(|key| Some((Soundness::of(self.step_state(key)?), key)))
            .collect();
        let mut probes: HashMap<&Name, usize> = HashMap::new();
        let suspected = self.targets.iter().filter(|target| target.health.is_suspected());
        for team in suspected.filter_map(|target| target.probed_by.as_ref()) {
            *probes.entry(team).or_default() += 1;
        }
        let probes_of = |key: &StepKey| {
            let team = self.jobs.get(&key.job).map(|job| &job.spec.team);
            team.and_then(|team| probes.get(team)).copied().unwrap_or_default()
        };
        candidates.sort_by_key(|(soundness, key)| (*soundness, probes_of(key)));
        round.is_probing = true;
        round.full_shapes = FullShapes::default();
        for (_, key) in candidates.into_iter().take(MAX_SEARCHES) {
            if let Some(wanted) = self.startable_tasks(key, round, now) {
                self.place_step(key, wanted, round, now);
            }
        }
        round.is_probing = false;
    }

    /// Returns the number of suspected targets of a pool that a team may use in
    /// addition to those that it has used last.
    fn probes_left(&self, service: &Name, team: &Name) -> usize {
        let is_suspected =
            |target: &&Target| target.info.service == *service && target.health.is_suspected();
        let suspected = self.targets.iter().filter(is_suspected);
        let (count, taken) = suspected.fold((0_usize, 0), |(count, taken), target| {
            (count + 1, taken + usize::from(target.probed_by.as_ref() == Some(team)))
        });
        (count / 2).saturating_sub(taken)
    }

    /// Returns whether a step needs nothing but room.
    fn may_probe(&self, key: &StepKey) -> bool {
        self.jobs.get(&key.job).is_some_and(|job| {
            let step = &job.spec.steps[usize::from(key.step)];
            needs_only_room(step, self.config.policy(&job.spec.queue, &job.spec.policy))
        })
    }

    /// Returns whether a failure of a waiting task of a step would fail its job.
    fn has_last_attempts(&self, key: &StepKey) -> bool {
        let Some((job, state)) = self.jobs.get(&key.job).zip(self.step_state(key)) else {
            return false;
        };
        let spec: &Spec = &job.spec;
        let step = &spec.steps[usize::from(key.step)];
        let max_attempts = self.config.policy(&spec.queue, &spec.policy).max_attempts;
        let mut waiting = state.waiting.iter().filter_map(|index| state.tasks.get(*index as usize));
        !step.long_running && waiting.any(|task| task.failed_runs.len() as u32 + 1 >= max_attempts)
    }
}

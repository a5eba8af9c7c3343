//! State of one job.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use work::{JobState, Progress, Spec, Step, StepProgress};

use crate::{rank::Chains, share::Entitlement, step::StepState};

/// Term in which a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// Accepted in the current term, so all runs of the job are known.
    Own,
    /// Accepted in an earlier term, so some runs of the job may be unknown.
    Inherited,
}

/// State of a record that has to be made before further steps begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AwaitedRecord {
    /// In no batch yet.
    Due,
    /// In a batch that is being recorded.
    InFlight,
}

/// Accepted job with its progress.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<Spec>,
    /// Estimated times of the chains of the job's steps.
    pub(crate) chains: Chains,
    pub(crate) origin: Origin,
    pub(crate) entitlement: Entitlement,
    pub(crate) state: JobState,
    /// Occurrences that have begun and are not done, by number.
    pub(crate) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Number of the next occurrence to begin.
    pub(crate) next_occurrence: u32,
    /// Number of runs of the job that are charged to targets.
    pub(crate) run_count: u32,
    /// End that has to be recorded before a step that depends on another one may
    /// begin: the next placer could take the step for not begun if it finds another
    /// run of the task.
    pub(crate) awaited_record: Option<AwaitedRecord>,
    /// Time at which the state became final.
    pub(crate) ended_at: Option<Duration>,
}

impl Job {
    pub(crate) fn new(spec: Arc<Spec>, origin: Origin, progress: Option<&Progress>) -> Self {
        let mut job = Self {
            chains: Chains::of(&spec.steps),
            spec,
            origin,
            entitlement: Entitlement::default(),
            state: progress.map_or(JobState::Queued, |progress| progress.state),
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            run_count: 0,
            awaited_record: None,
            ended_at: None,
        };
        if let Some(progress) = progress {
            for (number, steps) in &progress.occurrences {
                job.begin_occurrence(*number, steps);
            }
            job.next_occurrence = progress.begun;
        }
        job
    }

    /// Begins an occurrence, with the recorded progress of its steps.
    pub(crate) fn begin_occurrence(&mut self, number: u32, progress: &[StepProgress]) {
        let states = self.spec.steps.iter().enumerate();
        let states = states.map(|(index, step)| StepState::new(step, progress.get(index)));
        self.occurrences.insert(number, states.collect());
    }

    /// Returns whether a step may not begin before an end is recorded.
    pub(crate) fn awaits_record(&self, step: &Step) -> bool {
        self.awaited_record.is_some() && !step.after.is_empty()
    }

    /// Returns whether all occurrences have begun and all their steps are done.
    pub(crate) fn is_done(&self) -> bool {
        self.next_occurrence == self.spec.occurrences()
            && self.occurrences.values().flatten().all(StepState::is_done)
    }

    /// Returns the progress to record.
    pub(crate) fn progress(&self) -> Progress {
        let steps = |states: &Vec<StepState>| states.iter().map(StepState::progress).collect();
        let occurrences = if self.state.is_final() {
            Vec::new()
        } else {
            self.occurrences.iter().map(|(number, states)| (*number, steps(states))).collect()
        };
        Progress { state: self.state, begun: self.next_occurrence, occurrences }
    }
}

//! One job on the board.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use work::{JobState, Progress, Spec, StepProgress};

use crate::{share::Entitlement, step::StepState};

/// An `Origin` says who accepted a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// It came during the term of this placer, so all its runs are known.
    Own,
    /// It was there before, so runs of it may be unknown.
    Inherited,
}

/// A `Job` is one accepted job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<Spec>,
    pub(crate) origin: Origin,
    pub(crate) entitlement: Entitlement,
    pub(crate) state: JobState,
    /// The occurrences that have begun and aren't done.
    pub(crate) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Number of the next occurrence to begin.
    pub(crate) next_occurrence: u32,
    /// Runs of it that count on targets.
    pub(crate) run_count: u32,
    /// When the state became final.
    pub(crate) ended_at: Option<Duration>,
}

impl Job {
    pub(crate) fn new(spec: Arc<Spec>, origin: Origin, progress: Option<&Progress>) -> Self {
        let mut job = Self {
            spec,
            origin,
            entitlement: Entitlement::default(),
            state: progress.map_or(JobState::Queued, |progress| progress.state),
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            run_count: 0,
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

    /// Begins an occurrence.
    pub(crate) fn begin_occurrence(&mut self, number: u32, progress: &[StepProgress]) {
        let states = self.spec.steps.iter().enumerate();
        let states = states.map(|(index, step)| StepState::new(step, progress.get(index)));
        self.occurrences.insert(number, states.collect());
    }

    /// Tells whether all that is to run is done.
    pub(crate) fn is_done(&self) -> bool {
        self.next_occurrence == self.spec.occurrences()
            && self.occurrences.values().flatten().all(StepState::is_done)
    }

    /// Gets what has to be recorded of the job.
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

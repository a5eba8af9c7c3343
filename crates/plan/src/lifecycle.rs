//! Life cycle of jobs: when their occurrences begin, their steps open, and they
//! count as begun or may be forgotten.

use std::{sync::Arc, time::Duration};

use base::Name;
use work::{JobState, StepKey};

use crate::planner::Planner;

impl Planner {
    /// Marks inherited jobs that have ended as unrecorded, once it is certain
    /// that no run of them exists. Their stored jobs are then removed.
    pub(crate) fn clear_ended_jobs(&mut self, now: Duration) {
        if self.has_cleared_ended_jobs || !self.is_recovered() {
            return;
        }
        self.has_cleared_ended_jobs = true;
        self.ended_usage.clear();
        let ended = self.jobs.iter().filter(|(_, job)| job.state.is_final() && job.run_count == 0);
        let kept = ended.filter(|(_, job)| !job.spec.steps.is_empty());
        let unrecorded: Vec<Name> = kept.map(|(id, _)| id.clone()).collect();
        for id in unrecorded {
            self.mark_unrecorded(&id, now);
        }
    }

    /// Begins the occurrences that are due.
    pub(crate) fn begin_due_occurrences(&mut self, unix_ms: u64, now: Duration) {
        while let Some((at, id)) = self.due_occurrences.first().cloned() {
            if at > unix_ms {
                return;
            }
            self.due_occurrences.pop_first();
            self.begin_next_occurrence(&id, now);
        }
    }

    /// Begins the next occurrence of a job.
    pub(crate) fn begin_next_occurrence(&mut self, id: &Name, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let occurrence = job.next_occurrence;
        self.due_occurrences.remove(&(job.spec.due_unix_ms(occurrence), id.clone()));
        job.begin_occurrence(occurrence, &[]);
        job.next_occurrence += 1;
        if job.next_occurrence < job.spec.occurrences() {
            self.due_occurrences.insert((job.spec.due_unix_ms(job.next_occurrence), id.clone()));
        }
        self.open_steps(id, occurrence, now);
    }

    /// Opens the steps of an occurrence whose dependencies are done, and drops
    /// the occurrence once all its steps are done.
    pub(crate) fn open_steps(&mut self, id: &Name, occurrence: u32, now: Duration) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        let Some(states) = job.occurrences.get_mut(&occurrence) else {
            return;
        };
        let done: Vec<bool> = states.iter().map(|state| state.is_done()).collect();
        let mut opened = Vec::new();
        for (number, (state, step)) in (0..).zip(states.iter_mut().zip(&spec.steps)) {
            let may_open = step.after.iter().all(|before| done[usize::from(*before)]);
            if may_open && !state.is_open {
                state.is_open = true;
                opened.push(StepKey { job: id.clone(), occurrence, step: number });
            }
        }
        if done.iter().all(|done| *done) {
            job.occurrences.remove(&occurrence);
        }
        for key in opened {
            self.queue_step(&key);
        }
        if self.jobs.get(id).is_some_and(|job| !job.state.is_final() && job.is_done()) {
            self.end_job(id, JobState::Complete, now);
        }
    }

    /// Makes a queued job active, because a target has confirmed a run of it.
    pub(crate) fn mark_started(&mut self, id: &Name) {
        if self.jobs.get(id).is_some_and(|job| job.state == JobState::Queued) {
            self.set_state(id, JobState::Active);
        }
    }
}

//! What targets answer, and what follows from it.

use std::time::Duration;

use base::Name;
use work::{End, TaskKey};

use crate::{
    action::{Action, StopCause},
    planner::Planner,
    target::{Phase, TargetId},
};

/// Ends that a target lists at once; a longer list is continued.
const MAX_ENDS_PER_LISTING: usize = 500;

/// A `Listing` is what a target says of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Start of the target's life, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// The runs.
    pub running: Vec<ListedRun>,
    /// The ends that it hasn't been told to forget.
    pub ended: Vec<RunEnd>,
}

/// A `ListedRun` is a run that a target lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Its last checkpoint.
    pub checkpoint: Option<Name>,
    /// How much of the work is done, in hundredths.
    pub percent: u32,
}

/// A `RunEnd` is an end that a target lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Number of the end in the target's life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: End,
    /// Its last checkpoint.
    pub checkpoint: Option<Name>,
}

/// A `StartAnswer` is what a target says to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// The run is not there and won't be.
    Refused(Refusal),
    /// There was no answer; the run may be there, or come later.
    Unknown,
}

/// A `Refusal` is why a target doesn't start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A later placer has claimed the target.
    Fenced,
    /// It had a later run of the task.
    Outdated,
    /// The order came after its time.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket isn't valid.
    Ticket,
    /// It is unhealthy, or the order was malformed.
    Unable,
}

impl Planner {
    /// Takes in the answer to a start.
    pub fn start_answered(
        &mut self,
        target: &str,
        task: &TaskKey,
        run: u32,
        answer: &StartAnswer,
        now: Duration,
    ) {
        let Some(&id) = self.target_ids.get(target) else {
            return;
        };
        let account = &mut self.targets[id.0 as usize];
        let Some(known) = account.runs.get_mut(task).filter(|known| known.number == run) else {
            return;
        };
        match answer {
            StartAnswer::Started => {
                account.unanswered_starts = 0;
                known.confirmed_at = Some(now);
                if known.phase == Phase::Starting {
                    known.phase = Phase::Running;
                }
            }
            StartAnswer::Refused(refusal) => {
                if *refusal == Refusal::Ticket
                    && let Some(state) = self.step_state_mut(&task.step)
                {
                    state.permissions.remove(id);
                }
                if matches!(refusal, Refusal::NoRoom | Refusal::Unable) {
                    // It gets no more until it has listed what it runs.
                    self.targets[id.0 as usize].last_contact_at = None;
                }
                self.end_run(id, task, run, End::Lapsed, None, now);
            }
            // A listing tells whether it is there; if it isn't, a stop settles
            // that it won't be.
            StartAnswer::Unknown => {
                if known.phase == Phase::Starting {
                    known.phase = Phase::Unanswered(now);
                    account.back_off(self.settings.unanswered_start_backoff, now);
                    self.actions.push(Action::Poll(Name::from(target)));
                }
            }
        }
    }

    /// Takes in that a target has taken note of a stop.
    pub fn stop_answered(&mut self, target: &str, task: &TaskKey, run: u32, now: Duration) {
        let Some(&id) = self.target_ids.get(target) else {
            return;
        };
        if let Some(known) = self.targets[id.0 as usize].runs.get_mut(task)
            && known.number == run
            && known.confirmed_at.is_none()
        {
            // Only the first answer counts: with later ones, a listing would
            // never be asked for late enough.
            known.confirmed_at = Some(now);
            self.actions.push(Action::Poll(Name::from(target)));
        }
    }

    /// Takes in a listing that was asked for at `asked`.
    pub fn apply_listing(
        &mut self,
        target: &str,
        asked: Duration,
        listing: &Listing,
        now: Duration,
    ) {
        let Some(&id) = self.target_ids.get(target) else {
            return;
        };
        self.unverified_targets.remove(target);
        let account = &mut self.targets[id.0 as usize];
        if account.last_contact_at.is_none() {
            self.is_changed = true;
        }
        account.last_contact_at = account.last_contact_at.max(Some(asked));
        if account.born_unix_ms != listing.born_unix_ms {
            // The counts of a new life start anew.
            account.born_unix_ms = listing.born_unix_ms;
            account.last_end = 0;
            account.unrecorded_ends.clear();
        }
        for end in &listing.ended {
            let account = &mut self.targets[id.0 as usize];
            if end.number <= account.last_end {
                continue;
            }
            account.last_end = end.number;
            account.unrecorded_ends.push_back((end.number, end.task.step.job.clone()));
            self.end_run(id, &end.task, end.run, end.end, end.checkpoint.clone(), now);
        }
        self.drop_recorded_ends(id);
        for seen in &listing.running {
            self.apply_listed_run(id, seen, now);
        }
        let account = &mut self.targets[id.0 as usize];
        // Nobody knows how much room runs of unknown jobs take.
        account.has_unknown_runs =
            listing.running.iter().any(|seen| !account.runs.contains_key(&seen.task));
        if listing.ended.len() < MAX_ENDS_PER_LISTING {
            self.end_missing_runs(id, asked, listing, now);
        }
        self.stop_unconfirmed_runs(id, asked, now);
    }

    /// Stops the runs whose starts weren't answered and that a listing lacks.
    fn stop_unconfirmed_runs(&mut self, id: TargetId, asked: Duration, now: Duration) {
        let runs = self.targets[id.0 as usize].runs.iter();
        let unconfirmed: Vec<(TaskKey, u32)> = runs
            .filter(|(_, run)| matches!(run.phase, Phase::Unanswered(since) if since <= asked))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in unconfirmed {
            self.stop_run(id, &task, run, StopCause::Unsure, now);
        }
    }

    /// Takes note of a run that a target lists, which may be one of an earlier
    /// placer.
    fn apply_listed_run(&mut self, id: TargetId, seen: &ListedRun, now: Duration) {
        if let Some(known) = self.targets[id.0 as usize].runs.get_mut(&seen.task)
            && known.number == seen.run
        {
            if matches!(known.phase, Phase::Starting | Phase::Unanswered(_)) {
                known.phase = Phase::Running;
                known.confirmed_at = Some(now);
            }
            if let Some(checkpoint) = &seen.checkpoint {
                self.save_checkpoint(&seen.task, checkpoint);
            }
            self.track_progress(id, seen, now);
            return;
        }
        if self.adopt_run(id, seen, now) {
            return;
        }
        self.stop_run(id, &seen.task, seen.run, StopCause::Needless, now);
    }

    /// Ends the runs that a target no longer has: their starts were settled
    /// before the listing was asked for, and it lacks them.
    fn end_missing_runs(
        &mut self,
        id: TargetId,
        asked: Duration,
        listing: &Listing,
        now: Duration,
    ) {
        let is_listed = |task: &TaskKey, run: u32| {
            listing.running.iter().any(|seen| seen.run == run && seen.task == *task)
        };
        let runs = self.targets[id.0 as usize].runs.iter();
        let missing: Vec<(TaskKey, u32)> = runs
            .filter(|(_, run)| run.confirmed_at.is_some_and(|confirmed| confirmed < asked))
            .filter(|(task, run)| !is_listed(task, run.number))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in missing {
            self.end_run(id, &task, run, End::Lapsed, None, now);
        }
    }

    pub(crate) fn save_checkpoint(&mut self, key: &TaskKey, checkpoint: &Name) {
        if let Some(state) = self.step_state_mut(&key.step)
            && let Some(task) = state.tasks.get_mut(key.index as usize)
        {
            task.checkpoint = Some(checkpoint.clone());
        }
    }
}

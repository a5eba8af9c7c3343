//! Answers of targets and their consequences.

use std::time::Duration;

use base::Name;
use work::{End, TaskKey};

use crate::{
    action::{Action, StopCause},
    ends::Evidence,
    planner::Planner,
    target::{Phase, TargetId},
};

/// Runs and ends that a target reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Start time of the target's process, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// Runs on the target.
    pub running: Vec<ListedRun>,
    /// Ends that the target has not been told to forget, from the first on.
    pub ended: Vec<RunEnd>,
    /// Whether there may be further ends, which follow once the target has been
    /// told to forget these.
    pub has_more_ends: bool,
}

/// Run in a listing.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint of the run.
    pub checkpoint: Option<Name>,
    /// Progress of the run, in percent.
    pub percent: u32,
    /// Rough figure for the last half second: the tail of the response times in
    /// milliseconds for a task with a latency goal, the processor time in use in
    /// thousandths of a core for any other; `None` if the target gave none.
    pub figure: Option<u32>,
}

/// End of a run in a listing.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Number of the end within the target process, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Outcome of the run.
    pub end: End,
    /// Last checkpoint of the run.
    pub checkpoint: Option<Name>,
}

/// Answer of a target to a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run exists.
    Started,
    /// The run does not exist and never will.
    Refused(Refusal),
    /// No answer; the run may exist, or come to exist later.
    Unknown,
}

/// Reason why a target refuses a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The target has seen a higher fencing token.
    Fenced,
    /// The target has had a later run of the task.
    Outdated,
    /// The order arrived after its deadline.
    Late,
    /// The target lacks free capacity.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The target has started again, and orders for its earlier process are
    /// fenced off.
    Restarted,
    /// The target's data centre is evacuated, or that can't be ruled out; the order
    /// was not sent.
    Evacuated,
    /// The target is unhealthy, or the order was malformed.
    Unable,
}

impl Planner {
    /// Applies the answer to a start order.
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
        let target_state = &mut self.targets[id.0 as usize];
        let Some(known) = target_state.runs.get_mut(task).filter(|known| known.number == run)
        else {
            return;
        };
        match answer {
            StartAnswer::Started => {
                target_state.unanswered_starts = 0;
                known.confirmed_at = Some(now);
                known.has_begun = true;
                if known.phase == Phase::Starting {
                    known.phase = Phase::Running;
                }
                self.mark_started(&task.step.job);
            }
            StartAnswer::Refused(refusal) => {
                if *refusal == Refusal::Ticket
                    && let Some(state) = self.step_state_mut(&task.step)
                {
                    state.permissions.remove(id);
                }
                if matches!(refusal, Refusal::NoRoom | Refusal::Unable) {
                    // The target gets no more work until it has listed its
                    // runs.
                    self.targets[id.0 as usize].last_contact_at = None;
                }
                self.give_up_run(id, task, run, Evidence::Refused, now);
            }
            // A listing shows whether the run exists. If it does not, a stop
            // order ensures that it never will.
            StartAnswer::Unknown => {
                if known.phase == Phase::Starting {
                    known.phase = Phase::Unanswered(now);
                    target_state.back_off(self.settings.unanswered_start_backoff, now);
                    self.actions.push(Action::Poll(Name::from(target)));
                }
            }
        }
    }

    /// Applies the acknowledgement of a stop order.
    pub fn stop_answered(&mut self, target: &str, task: &TaskKey, run: u32, now: Duration) {
        let Some(&id) = self.target_ids.get(target) else {
            return;
        };
        if let Some(known) = self.targets[id.0 as usize].runs.get_mut(task)
            && known.number == run
            && known.confirmed_at.is_none()
        {
            // Only the first acknowledgement counts. If later ones moved the
            // time, no listing might ever be requested late enough.
            known.confirmed_at = Some(now);
            self.actions.push(Action::Poll(Name::from(target)));
        }
    }

    /// Applies a listing that was requested at `requested_at`.
    pub fn apply_listing(
        &mut self,
        target: &str,
        requested_at: Duration,
        listing: &Listing,
        now: Duration,
    ) {
        let Some(&id) = self.target_ids.get(target) else {
            return;
        };
        if !listing.has_more_ends && self.unverified_targets.remove(target).is_some() {
            self.refresh_unknown_runs();
        }
        let target_state = &mut self.targets[id.0 as usize];
        target_state.has_unread_ends = listing.has_more_ends;
        if target_state.last_contact_at.is_none() {
            self.is_changed = true;
        }
        target_state.last_contact_at = target_state.last_contact_at.max(Some(requested_at));
        let known_born = target_state.born_unix_ms;
        self.settle_suspicion(id, requested_at);
        if known_born != listing.born_unix_ms {
            self.process_changed(id, listing.born_unix_ms, now);
            let speed = self.initial_speed(target, listing.born_unix_ms, now);
            let target_state = &mut self.targets[id.0 as usize];
            // A new process numbers its ends from 1 again, and may run on other
            // hardware.
            target_state.speed = speed;
            target_state.earlier_born_unix_ms = known_born;
            target_state.born_unix_ms = listing.born_unix_ms;
            target_state.last_end = 0;
            target_state.unrecorded_ends.clear();
        }
        if known_born != listing.born_unix_ms && known_born != 0 {
            self.target_restarted(id, requested_at, listing, now);
        } else {
            self.targets[id.0 as usize].lapsed_runs.clear();
        }
        self.check_reappeared(id, listing, requested_at, now);
        for end in &listing.ended {
            let target_state = &mut self.targets[id.0 as usize];
            if end.number <= target_state.last_end {
                continue;
            }
            target_state.last_end = end.number;
            target_state.unrecorded_ends.push_back((end.number, end.task.step.job.clone()));
            self.mark_started(&end.task.step.job);
            self.end_run(id, &end.task, end.run, end.end, end.checkpoint.clone(), now);
        }
        self.drop_recorded_ends(id);
        for listed in &listing.running {
            self.apply_listed_run(id, listed, now);
            self.note_unbegun_steps(id, listed);
        }
        self.apply_figures(id, listing, requested_at);
        let target_state = &mut self.targets[id.0 as usize];
        // Runs of unknown jobs take an unknown amount of resources.
        target_state.has_unknown_runs =
            listing.running.iter().any(|listed| !target_state.runs.contains_key(&listed.task));
        if !listing.has_more_ends {
            self.end_missing_runs(id, requested_at, listing, now);
        }
        self.stop_unconfirmed_runs(id, requested_at, now);
    }

    /// Stops runs whose starts were not answered and that a listing lacks.
    fn stop_unconfirmed_runs(&mut self, id: TargetId, requested_at: Duration, now: Duration) {
        let runs = self.targets[id.0 as usize].runs.iter();
        let unconfirmed: Vec<(TaskKey, u32)> = runs
            .filter(
                |(_, run)| matches!(run.phase, Phase::Unanswered(since) if since <= requested_at),
            )
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in unconfirmed {
            self.stop_run(id, &task, run, StopCause::Unsure, now);
        }
    }

    /// Applies a run in a listing, which may have been started by an earlier
    /// placer.
    fn apply_listed_run(&mut self, id: TargetId, listed: &ListedRun, now: Duration) {
        self.mark_started(&listed.task.step.job);
        if let Some(known) = self.targets[id.0 as usize].runs.get_mut(&listed.task)
            && known.number == listed.run
        {
            known.is_listed = true;
            known.has_begun = true;
            if matches!(known.phase, Phase::Starting | Phase::Unanswered(_)) {
                known.phase = Phase::Running;
                known.confirmed_at = Some(now);
            }
            let confirmed_at = known.confirmed_at;
            if let Some(checkpoint) = &listed.checkpoint {
                self.save_checkpoint(&listed.task, checkpoint);
            }
            self.clear_lasting(id, &listed.task, confirmed_at, now);
            self.track_progress(id, listed, now);
            return;
        }
        self.adopt_run(id, listed, now, now);
        if let Some(adopted) = self.targets[id.0 as usize].runs.get_mut(&listed.task)
            && adopted.number == listed.run
        {
            adopted.is_listed = true;
            adopted.has_begun = true;
        }
    }

    /// Ends the runs that a target no longer has: they were confirmed before
    /// the listing was requested, and the listing lacks them.
    fn end_missing_runs(
        &mut self,
        id: TargetId,
        requested_at: Duration,
        listing: &Listing,
        now: Duration,
    ) {
        let is_listed = |task: &TaskKey, run: u32| {
            listing.running.iter().any(|listed| listed.run == run && listed.task == *task)
        };
        let runs = self.targets[id.0 as usize].runs.iter();
        let missing: Vec<(TaskKey, u32)> = runs
            .filter(|(_, run)| run.confirmed_at.is_some_and(|confirmed| confirmed < requested_at))
            .filter(|(task, run)| !is_listed(task, run.number))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in missing {
            self.release_run(id, &task, run, Evidence::Unlisted, now);
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

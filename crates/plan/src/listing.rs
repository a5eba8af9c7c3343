//! What targets answer, and what follows from it.

use std::time::Duration;

use base::Name;
use place::Outcome;
use work::{End, JobState, StepKey, TaskKey};

use crate::{
    action::Action,
    board::Board,
    step::TaskState,
    target::{Phase, Run, TargetId},
};

/// Ends that a target lists at once; a longer list is continued.
const ENDS_PER_LISTING: usize = 500;

/// A `Listing` is what a target says of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Start of the target's life, in milliseconds since 1970.
    pub born_unix_ms: u64,
    /// The runs.
    pub running: Vec<RunSeen>,
    /// The ends that it hasn't been told to forget.
    pub ended: Vec<RunEnd>,
}

/// A `RunSeen` is a run that a target lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSeen {
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

impl Board {
    /// Takes in the answer to a start.
    pub fn start_answered(
        &mut self,
        target: &str,
        task: &TaskKey,
        run: u32,
        answer: &StartAnswer,
        now: Duration,
    ) {
        let Some(&id) = self.ids.get(target) else {
            return;
        };
        let Some(known) = self.targets[id.0 as usize].runs.get_mut(task) else {
            return;
        };
        if known.number != run {
            return;
        }
        match answer {
            StartAnswer::Started => {
                self.targets[id.0 as usize].unanswered = 0;
                let Some(known) = self.targets[id.0 as usize].runs.get_mut(task) else {
                    return;
                };
                known.settled = Some(now);
                if known.phase == Phase::Starting {
                    known.phase = Phase::Running;
                }
            }
            StartAnswer::Refused(refusal) => {
                if *refusal == Refusal::Ticket
                    && let Some(state) = self.step_state_mut(&task.step)
                {
                    state.permissions.remove(&id);
                }
                if matches!(refusal, Refusal::NoRoom | Refusal::Unable) {
                    // It gets no more until it has listed what it runs.
                    self.targets[id.0 as usize].heard = None;
                }
                self.end_run(id, task, run, End::Lapsed, None, now);
            }
            // A listing tells whether it is there; if it isn't, a stop settles
            // that it won't be.
            StartAnswer::Unknown => {
                if known.phase == Phase::Starting {
                    known.phase = Phase::Unsure(now);
                    self.targets[id.0 as usize].pause(self.settings.unanswered_pause, now);
                    self.actions.push(Action::Look(Name::from(target)));
                }
            }
        }
    }

    /// Takes in that a target has taken note of a stop.
    pub fn stop_answered(&mut self, target: &str, task: &TaskKey, run: u32, now: Duration) {
        let Some(&id) = self.ids.get(target) else {
            return;
        };
        if let Some(known) = self.targets[id.0 as usize].runs.get_mut(task)
            && known.number == run
            && known.settled.is_none()
        {
            // Only the first answer counts: with later ones, a listing would
            // never be asked for late enough.
            known.settled = Some(now);
            self.actions.push(Action::Look(Name::from(target)));
        }
    }

    /// Takes in a listing that was asked for at `asked`.
    pub fn listed(&mut self, target: &str, asked: Duration, listing: &Listing, now: Duration) {
        let Some(&id) = self.ids.get(target) else {
            return;
        };
        self.unclaimed.remove(target);
        let account = &mut self.targets[id.0 as usize];
        if account.heard.is_none() {
            self.is_changed = true;
        }
        account.heard = account.heard.max(Some(asked));
        if account.life != listing.born_unix_ms {
            // The counts of a new life start anew.
            account.life = listing.born_unix_ms;
            account.seen = 0;
            account.recorded = 0;
        }
        for end in &listing.ended {
            let account = &mut self.targets[id.0 as usize];
            if end.number <= account.seen {
                continue;
            }
            account.seen = end.number;
            self.end_run(id, &end.task, end.run, end.end, end.checkpoint.clone(), now);
        }
        for seen in &listing.running {
            self.see_run(id, seen, now);
        }
        let account = &mut self.targets[id.0 as usize];
        // Nobody knows how much room runs of unknown jobs take.
        account.has_unknown =
            listing.running.iter().any(|seen| !account.runs.contains_key(&seen.task));
        if listing.ended.len() < ENDS_PER_LISTING {
            self.end_missing_runs(id, asked, listing, now);
        }
        self.stop_unsure_runs(id, asked, now);
    }

    /// Stops the runs whose starts weren't answered and that a listing lacks.
    fn stop_unsure_runs(&mut self, id: TargetId, asked: Duration, now: Duration) {
        let runs = self.targets[id.0 as usize].runs.iter();
        let unsure: Vec<(TaskKey, u32)> = runs
            .filter(|(_, run)| matches!(run.phase, Phase::Unsure(since) if since <= asked))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in unsure {
            self.stop_run(id, &task, run, now);
        }
    }

    /// Takes in that runs of a target whose lease has lapsed are gone.
    pub(crate) fn end_lapsed_runs(&mut self, now: Duration) {
        let lapse_after = self.settings.lapse_after();
        for index in 0..self.targets.len() {
            let target = &self.targets[index];
            let has_lapsed =
                target.granted.is_some_and(|granted| now.saturating_sub(granted) > lapse_after);
            if !has_lapsed || target.runs.is_empty() {
                continue;
            }
            let gone: Vec<_> =
                target.runs.iter().map(|(task, run)| (task.clone(), run.number)).collect();
            for (task, run) in gone {
                self.end_run(TargetId(index as u32), &task, run, End::Lapsed, None, now);
            }
        }
    }

    /// Takes note of a run that a target lists, which may be one of an earlier
    /// placer.
    fn see_run(&mut self, id: TargetId, seen: &RunSeen, now: Duration) {
        if let Some(known) = self.targets[id.0 as usize].runs.get_mut(&seen.task)
            && known.number == seen.run
        {
            if matches!(known.phase, Phase::Starting | Phase::Unsure(_)) {
                known.phase = Phase::Running;
                known.settled = Some(now);
            }
            if let Some(checkpoint) = &seen.checkpoint {
                self.save_checkpoint(&seen.task, checkpoint);
            }
            self.watch_progress(id, seen, now);
            return;
        }
        if self.adopt_run(id, seen, now) {
            return;
        }
        self.stop_run(id, &seen.task, seen.run, now);
    }

    /// Learns from how a run advances; moves it elsewhere if it doesn't.
    fn watch_progress(&mut self, id: TargetId, seen: &RunSeen, now: Duration) {
        /// Hundredths at which a run has done its part; the members of a gang
        /// wait for one another there.
        const ALL_DONE: u32 = 99;
        /// Time between samples of a run.
        const SAMPLE_PERIOD: Duration = Duration::from_millis(700);
        let Some(job) = self.jobs.get(&seen.task.step.job) else {
            return;
        };
        let Some(step) = job.spec.steps.get(usize::from(seen.task.step.step)) else {
            return;
        };
        if step.long_running || step.estimate_ms == 0 {
            return;
        }
        // The members of a gang advance together, as the slowest does.
        let is_telling = !step.gang;
        let target = &mut self.targets[id.0 as usize];
        let Some(run) = target.runs.get_mut(&seen.task) else {
            return;
        };
        let (percent, since) = *run.progress.get_or_insert((seen.percent, now));
        if percent != seen.percent {
            run.progress = Some((seen.percent, now));
        } else if now.saturating_sub(since) > self.settings.stuck_after
            && run.phase == Phase::Running
            && (is_telling || percent > 0)
            && percent < ALL_DONE
        {
            let number = run.number;
            target.health.record(Outcome::Failed, &seen.task.step.job, now);
            return self.stop_run(id, &seen.task, number, now);
        }
        let (percent, sampled) = *run.sampled.get_or_insert((seen.percent, now));
        let time = now.saturating_sub(sampled);
        if !is_telling || time < SAMPLE_PERIOD {
            return;
        }
        run.sampled = Some((seen.percent, now));
        // Less than a hundredth is rounded away.
        let advance = f64::from(seen.percent.saturating_sub(percent)).max(0.5);
        let ratio = time.as_millis() as f64 * 100.0 / advance / f64::from(step.estimate_ms);
        let usual = self.usual.entry(job.spec.queue.clone()).or_default();
        target.speed.learn(ratio, usual, now);
    }

    /// Takes over a run of an earlier placer; `false` if it is not wanted.
    pub(crate) fn adopt_run(&mut self, id: TargetId, seen: &RunSeen, now: Duration) -> bool {
        let Some(job) = self.jobs.get(&seen.task.step.job) else {
            return false;
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(usize::from(seen.task.step.step)) else {
            return false;
        };
        let size = step.size;
        // What runs takes room, wanted or not.
        let run = Run { settled: Some(now), ..Run::new(seen.run, step, Phase::Running) };
        let account = &mut self.targets[id.0 as usize];
        if account.runs.contains_key(&seen.task) {
            return false;
        }
        account.runs.insert(seen.task.clone(), run);
        account.promised += size;
        // An earlier placer may have granted a lease up to now.
        account.granted = account.granted.max(Some(now));
        self.used.add(&spec.team, size);
        if let Some(job) = self.jobs.get_mut(&seen.task.step.job) {
            job.runs += 1;
        }
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
    fn begin_adopted(&mut self, key: &StepKey, now: Duration) {
        while self.jobs.get(&key.job).is_some_and(|job| {
            !job.state.is_final()
                && job.next <= key.occurrence
                && key.occurrence < job.spec.occurrences()
        }) {
            self.begin_next(&key.job, now);
        }
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
            .filter(|(_, run)| run.settled.is_some_and(|settled| settled < asked))
            .filter(|(task, run)| !is_listed(task, run.number))
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in missing {
            self.end_run(id, &task, run, End::Lapsed, None, now);
        }
    }

    fn save_checkpoint(&mut self, key: &TaskKey, checkpoint: &Name) {
        if let Some(state) = self.step_state_mut(&key.step)
            && let Some(task) = state.tasks.get_mut(key.index as usize)
        {
            task.checkpoint = Some(checkpoint.clone());
        }
    }

    /// Takes in the end of a run.
    pub(crate) fn end_run(
        &mut self,
        id: TargetId,
        key: &TaskKey,
        run: u32,
        end: End,
        checkpoint: Option<Name>,
        now: Duration,
    ) {
        self.is_changed = true;
        let team = self.jobs.get(&key.step.job).map(|job| job.spec.team.clone());
        let account = &mut self.targets[id.0 as usize];
        if account.runs.get(key).is_some_and(|known| known.number == run)
            && let Some(known) = account.runs.remove(key)
        {
            account.promised -= known.size;
            if let Some(team) = &team {
                self.used.remove(team, known.size);
            }
            if let Some(job) = self.jobs.get_mut(&key.step.job) {
                job.runs -= 1;
                if job.runs == 0 && job.state.is_final() {
                    // The job itself need no longer be kept.
                    self.unrecorded.insert(key.step.job.clone());
                }
            }
        }
        if let Some(checkpoint) = &checkpoint {
            self.save_checkpoint(key, checkpoint);
        }
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let Some(step) = spec.steps.get(usize::from(key.step.step)) else {
            return;
        };
        self.note_health(id, &key.step.job, end, now);
        if end == End::Done && self.step_state(&key.step).is_none() {
            self.begin_adopted(&key.step, now);
        }
        let most_attempts = self.config.policy(&spec.queue, &spec.policy).most_attempts;
        let Some(state) = self.step_state_mut(&key.step) else {
            return;
        };
        let Some(task) = state.tasks.get_mut(key.index as usize) else {
            return;
        };
        let is_current = task.state == TaskState::Assigned { target: id, run };
        if end == End::Done && !step.long_running {
            return self.finish_tasks(key, step.gang, now);
        }
        let counts = end == End::Failed && !step.long_running;
        if counts && task.state != TaskState::Done {
            let has_failed = state.fail(key.index, run, step) >= most_attempts;
            self.unrecorded.insert(key.step.job.clone());
            if has_failed {
                return self.end_job(&key.step.job, JobState::Failed, now);
            }
        }
        if !is_current {
            return;
        }
        if step.gang { self.leave_gang(&key.step, key.index, now) } else { self.release(key) }
    }

    /// Learns from an end whether a target fails what it starts.
    fn note_health(&mut self, id: TargetId, job: &Name, end: End, now: Duration) {
        let outcome = match end {
            End::Done => Outcome::Succeeded,
            End::Failed => Outcome::Failed,
            End::Stopped | End::Lapsed | End::Broken | End::Alone => return,
        };
        self.targets[id.0 as usize].health.record(outcome, job, now);
    }

    fn release(&mut self, key: &TaskKey) {
        if let Some(state) = self.step_state_mut(&key.step) {
            state.release(key.index);
        }
        self.queue_step(&key.step);
    }

    /// Takes a member out of a gang; the gang starts anew as a whole once none
    /// of it runs.
    fn leave_gang(&mut self, key: &StepKey, index: u32, now: Duration) {
        let Some(state) = self.step_state_mut(key) else {
            return;
        };
        state.release(index);
        // All members resume where one of them did.
        let checkpoint = state.tasks[index as usize].checkpoint.clone();
        if checkpoint.is_some() {
            for task in &mut state.tasks {
                task.checkpoint.clone_from(&checkpoint);
            }
        }
        self.stop_members(key, now);
        if self.step_state(key).is_some_and(|state| !state.has_runs()) {
            self.queue_step(key);
        }
    }

    /// Stops all members of a gang that may be running.
    pub(crate) fn stop_members(&mut self, key: &StepKey, now: Duration) {
        let Some(state) = self.step_state(key) else {
            return;
        };
        let members: Vec<_> = (0..)
            .zip(&state.tasks)
            .filter_map(|(index, task)| match task.state {
                TaskState::Assigned { target, run } => Some((index, target, run)),
                TaskState::Waiting | TaskState::Done => None,
            })
            .collect();
        for (index, target, run) in members {
            let task = TaskKey { step: key.clone(), index };
            let is_told = self.targets[target.0 as usize]
                .runs
                .get(&task)
                .is_some_and(|run| matches!(run.phase, Phase::Stopping(_)));
            if !is_told {
                self.stop_run(target, &task, run, now);
            }
        }
    }

    /// Marks a task as done, or all tasks of a gang.
    fn finish_tasks(&mut self, key: &TaskKey, is_gang: bool, now: Duration) {
        let Some(state) = self.step_state_mut(&key.step) else {
            return;
        };
        if is_gang {
            for index in 0..state.tasks.len() as u32 {
                state.finish(index);
            }
        } else {
            let other = state.tasks[key.index as usize].state;
            state.finish(key.index);
            // Another run of the task has become needless.
            if let TaskState::Assigned { target, run } = other
                && self.targets[target.0 as usize].runs.contains_key(key)
            {
                self.stop_run(target, key, run, now);
            }
        }
        self.unrecorded.insert(key.step.job.clone());
        let Some(state) = self.step_state(&key.step) else {
            return;
        };
        let (is_done, is_waiting) = (state.is_done(), !state.waiting.is_empty());
        if !is_waiting {
            self.unqueue_step(&key.step);
        }
        if is_done {
            self.open_steps(&key.step.job, key.step.occurrence, now);
        }
        if self.jobs.get(&key.step.job).is_some_and(|job| job.is_done()) {
            self.end_job(&key.step.job, JobState::Complete, now);
        }
    }
}

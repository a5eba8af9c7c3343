//! The account of a cell, and what changes it from outside.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use base::Name;
use place::Health;
use quota::Order;
use work::{Config, JobState, Progress, Spec, StepKey, TaskKey};

use crate::{
    action::{Action, Stop},
    job::{Job, Origin},
    listing::RunSeen,
    settings::Settings,
    share::Bucket,
    speed::Usual,
    step::TaskState,
    target::{Availability, Facts, Phase, Target, TargetId},
};

/// A `Board` is the exact account of a cell.
#[derive(Debug, Default)]
pub struct Board {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    pub(crate) targets: Vec<Target>,
    pub(crate) ids: HashMap<Name, TargetId>,
    pub(crate) jobs: HashMap<Name, Job>,
    /// What each team may have running.
    pub(crate) used: Order,
    /// Steps with tasks that wait.
    pub(crate) ready: HashSet<StepKey>,
    /// Requests for advice under way, with the time that they take, in
    /// microseconds.
    pub(crate) asking: HashMap<StepKey, u64>,
    /// Instances that can ask.
    pub(crate) advisors: u32,
    /// Occurrences that are to come, by the time that they are due.
    pub(crate) due: BTreeSet<(u64, Name)>,
    pub(crate) ended: BTreeSet<(Duration, Name)>,
    pub(crate) actions: Vec<Action>,
    pub(crate) changes: Vec<(Name, JobState)>,
    /// Jobs whose progress isn't recorded.
    pub(crate) unrecorded: HashSet<Name>,
    /// Jobs whose progress is being recorded.
    recording: HashSet<Name>,
    /// The batches under way, the oldest first, and whether each is recorded.
    batches: VecDeque<Pending>,
    last_batch: u64,
    /// Jobs in a final state, which is told once it is recorded.
    pub(crate) unannounced: HashSet<Name>,
    /// First number that runs of inherited jobs may have.
    pub(crate) first_run: u32,
    /// Targets that runs of earlier terms may be on, until they have answered.
    pub(crate) unclaimed: HashSet<Name>,
    /// Whether ended jobs of earlier terms have been looked through.
    pub(crate) is_cleared: bool,
    /// When unknown runs of earlier terms have surely lapsed.
    pub(crate) settled_at: Duration,
    pub(crate) pending: BTreeMap<Name, u32>,
    /// What each team is owed at the moment.
    buckets: HashMap<Name, Bucket>,
    /// How long runs take against their estimates, by queue.
    pub(crate) usual: HashMap<Name, Usual>,
    /// Share of targets that are allowed, by queue, in thousandths.
    pub(crate) allowed_milli: HashMap<Name, u32>,
    /// Whether anything has changed since the last round.
    pub(crate) is_changed: bool,
}

/// A `Batch` is what is recorded in one go.
#[derive(Debug)]
pub struct Batch {
    /// What is recorded of each job.
    pub records: Vec<Record>,
    number: u64,
}

/// A `Record` is what is recorded of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Id of the job.
    pub id: Name,
    /// Its progress.
    pub progress: Progress,
    /// Whether the job itself is still needed.
    pub need: Need,
}

/// A `Need` says whether a job is needed beside its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It isn't done, or runs of it still take room.
    Needed,
    /// It has ended, and so have all its runs.
    Needless,
}

/// A `Pending` is a batch under way.
#[derive(Debug)]
struct Pending {
    number: u64,
    /// The life of each target and its highest end that was taken in before.
    seen: Vec<(u64, u64)>,
    outcome: Option<Outcome>,
}

/// An `Outcome` is what became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Recorded,
    Failed,
}

impl Board {
    /// Makes the board of a placer.
    ///
    /// `term` is the number of the placer's term, from 1. Runs of earlier terms
    /// may be on the targets `held` until they have answered or `now` is long
    /// enough ago.
    pub fn new(settings: Settings, term: u32, held: HashSet<Name>, now: Duration) -> Self {
        let settled_at = now + settings.lapse_after();
        let first_run = term.saturating_sub(1).saturating_mul(settings.runs_per_term);
        Self { settings, first_run, unclaimed: held, settled_at, ..Self::default() }
    }

    /// Takes in a new configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        self.is_changed = true;
    }

    /// Takes in a job that was accepted, if it isn't known yet.
    pub fn accept(&mut self, id: &Name, spec: Spec, now: Duration) {
        self.add_job(id, spec, Origin::Own, None, now);
    }

    /// Takes in a job that was accepted before the placer's term.
    pub fn inherit(&mut self, id: &Name, spec: Spec, progress: Option<&Progress>, now: Duration) {
        self.add_job(id, spec, Origin::Inherited, progress, now);
    }

    /// Takes in a job that had ended before the placer's term.
    pub fn inherit_ended(&mut self, id: &Name, state: JobState, now: Duration) {
        if state.is_final() {
            let progress = Progress { state, ..Progress::default() };
            self.add_job(id, Spec::default(), Origin::Inherited, Some(&progress), now);
        }
    }

    fn add_job(
        &mut self,
        id: &Name,
        spec: Spec,
        origin: Origin,
        progress: Option<&Progress>,
        now: Duration,
    ) {
        if self.jobs.contains_key(id) {
            return;
        }
        let mut job = Job::new(Arc::new(spec), origin, progress);
        if origin == Origin::Own
            && let Some(team) = self.config.teams.get(&job.spec.team)
        {
            let bucket = self.buckets.entry(job.spec.team.clone());
            let bucket = bucket.or_insert_with(|| Bucket::new(team.weight, now));
            job.entitlement = bucket.take(team.weight, now);
        }
        if !job.state.is_final() {
            self.changes.push((id.clone(), job.state));
        }
        if job.state.is_final() {
            job.ended = Some(now);
            self.ended.insert((now, id.clone()));
        } else {
            if job.state == JobState::Queued && job.spec.schedule.is_none() {
                *self.pending.entry(job.spec.queue.clone()).or_default() += 1;
            }
            if job.next < job.spec.occurrences() {
                self.due.insert((job.spec.due_unix_ms(job.next), id.clone()));
            }
        }
        let begun: Vec<u32> = job.occurrences.keys().copied().collect();
        self.jobs.insert(id.clone(), job);
        for occurrence in begun {
            self.open_steps(id, occurrence, now);
        }
        self.is_changed = true;
    }

    /// Cancels a job; its runs are told to stop.
    pub fn cancel(&mut self, id: &Name, now: Duration) {
        if self.jobs.get(id).is_some_and(|job| !job.state.is_final()) {
            self.end_job(id, JobState::Cancelled, now);
        }
    }

    /// Ends a job and stops what may be running of it.
    pub(crate) fn end_job(&mut self, id: &Name, state: JobState, now: Duration) {
        self.set_state(id, state);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.ended = Some(now);
        let occurrences = std::mem::take(&mut job.occurrences);
        let (number, spec) = (job.next, Arc::clone(&job.spec));
        self.ended.insert((now, id.clone()));
        self.unrecorded.insert(id.clone());
        self.unannounced.insert(id.clone());
        if number < spec.occurrences() {
            self.due.remove(&(spec.due_unix_ms(number), id.clone()));
        }
        for (occurrence, states) in occurrences {
            for (step, state) in (0..).zip(states) {
                let key = StepKey { job: id.clone(), occurrence, step };
                self.unqueue_step(&key);
                for (index, task) in (0..).zip(state.tasks) {
                    if let TaskState::Assigned { target, run } = task.state {
                        self.stop_run(target, &TaskKey { step: key.clone(), index }, run, now);
                    }
                }
            }
        }
    }

    /// Tells a run to stop. It counts until its end is certain.
    pub(crate) fn stop_run(&mut self, target: TargetId, task: &TaskKey, run: u32, now: Duration) {
        let target = &mut self.targets[target.0 as usize];
        if let Some(known) = target.runs.get_mut(task)
            && known.number == run
            && !matches!(known.phase, Phase::Stopping(_))
        {
            known.phase = Phase::Stopping(now);
        }
        let target = target.facts.id.clone();
        self.actions.push(Action::Stop(Stop { target, task: task.clone(), run }));
    }

    /// Takes in what the targets say of themselves. Those that aren't named
    /// are no longer listed.
    pub fn list_targets(&mut self, facts: Vec<Facts>) {
        let mut unlisted: HashSet<TargetId> = self.ids.values().copied().collect();
        for facts in facts {
            let id = self.target_id(&facts.id);
            unlisted.remove(&id);
            self.targets[id.0 as usize].facts = facts;
        }
        for id in unlisted {
            self.targets[id.0 as usize].facts.availability = Availability::Unlisted;
        }
        self.is_changed = true;
    }

    /// Gets the highest end of a target's life that was taken in.
    pub fn seen_end(&self, target: &str, born_unix_ms: u64) -> u64 {
        let target = self.ids.get(target).map(|id| &self.targets[id.0 as usize]);
        target.filter(|target| target.life == born_unix_ms).map_or(0, |target| target.seen)
    }

    /// Gets the highest end of a target that it may forget.
    pub fn recorded_end(&self, target: &str) -> u64 {
        self.ids.get(target).map_or(0, |id| self.targets[id.0 as usize].recorded)
    }

    /// Notes when a target was granted its lease anew, if it was.
    pub fn granted(&mut self, target: &str, at: Option<Duration>) {
        if let Some(id) = self.ids.get(target) {
            let target = &mut self.targets[id.0 as usize];
            target.granted = target.granted.max(at);
        }
    }

    /// Notes that a target does not answer, so that it gets no new work until
    /// it does; gets whether it did before.
    pub fn silent(&mut self, target: &str) -> bool {
        let id = self.ids.get(target);
        id.is_some_and(|id| self.targets[id.0 as usize].heard.take().is_some())
    }

    /// Gets what is to be done, and forgets it.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Gets the changes of states to tell, and forgets them.
    pub fn take_changes(&mut self) -> Vec<(Name, JobState)> {
        std::mem::take(&mut self.changes)
    }

    /// Gets the states of all jobs as they may be told.
    pub fn states(&self) -> Vec<(Name, JobState)> {
        let told = |(id, job): (&Name, &Job)| {
            let is_told = !self.unannounced.contains(id);
            (id.clone(), if is_told { job.state } else { JobState::Active })
        };
        self.jobs.iter().map(told).collect()
    }

    /// Gets the number of jobs that nothing has started of, by queue.
    pub fn pending(&self) -> Vec<(Name, u32)> {
        self.pending.iter().map(|(queue, count)| (queue.clone(), *count)).collect()
    }

    /// Gets what has changed and has to be recorded; `None` if nothing has, or
    /// only what is of jobs that are being recorded. Several batches may be
    /// under way at a time, each job in one of them.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let seen: Vec<(u64, u64)> =
            self.targets.iter().map(|target| (target.life, target.seen)).collect();
        let is_covered = self.batches.back().is_some_and(|batch| batch.seen == seen)
            || self.targets.iter().all(|target| target.seen <= target.recorded);
        let (held, ids): (HashSet<Name>, HashSet<Name>) =
            self.unrecorded.drain().partition(|id| self.recording.contains(id));
        self.unrecorded = held;
        // An end may be forgotten only when all that it has changed is recorded.
        if ids.is_empty() && (is_covered || !self.unrecorded.is_empty()) {
            return None;
        }
        let records: Vec<Record> = ids
            .into_iter()
            .filter_map(|id| {
                let job = self.jobs.get(&id)?;
                let is_needless = job.state.is_final() && job.runs == 0;
                let need = if is_needless { Need::Needless } else { Need::Needed };
                Some(Record { id, progress: job.progress(), need })
            })
            .collect();
        self.last_batch += 1;
        let number = self.last_batch;
        self.recording.extend(records.iter().map(|record| record.id.clone()));
        let covered = if self.unrecorded.is_empty() { seen } else { Vec::new() };
        self.batches.push_back(Pending { number, seen: covered, outcome: None });
        Some(Batch { records, number })
    }

    /// Takes note that a batch is recorded: final states may be told, and once
    /// the batches before it are recorded too, targets may forget its ends.
    pub fn recorded(&mut self, batch: Batch) {
        for Record { id, progress, .. } in batch.records {
            self.recording.remove(&id);
            if progress.state.is_final() && self.unannounced.remove(&id) {
                self.changes.push((id, progress.state));
            }
        }
        self.settle_batch(batch.number, Outcome::Recorded);
    }

    /// Takes note that a batch could not be recorded.
    pub fn not_recorded(&mut self, batch: Batch) {
        for Record { id, .. } in batch.records {
            self.recording.remove(&id);
            self.unrecorded.insert(id);
        }
        self.settle_batch(batch.number, Outcome::Failed);
    }

    fn settle_batch(&mut self, number: u64, outcome: Outcome) {
        if let Some(batch) = self.batches.iter_mut().find(|batch| batch.number == number) {
            batch.outcome = Some(outcome);
        }
        if outcome == Outcome::Failed {
            // What it held goes into a later batch, which covers these ends.
            for batch in &mut self.batches {
                batch.seen.clear();
            }
        }
        while self.batches.front().is_some_and(|batch| batch.outcome.is_some()) {
            let Some(batch) = self.batches.pop_front() else {
                return;
            };
            for (target, (life, seen)) in self.targets.iter_mut().zip(batch.seen) {
                // The ends of a later life have numbers of their own.
                if target.life == life {
                    target.recorded = target.recorded.max(seen);
                }
            }
        }
    }

    /// Gets the jobs that ended long ago, and forgets them.
    pub fn take_expired(&mut self, now: Duration) -> Vec<Name> {
        let mut expired = Vec::new();
        while let Some((at, id)) = self.ended.first().cloned() {
            if now.saturating_sub(at) < self.settings.keep_ended {
                break;
            }
            self.ended.pop_first();
            self.jobs.remove(&id);
            expired.push(id);
        }
        expired
    }

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

    fn target_id(&mut self, name: &Name) -> TargetId {
        *self.ids.entry(name.clone()).or_insert_with(|| {
            let health = Health::new(self.settings.caution);
            self.targets.push(Target { health, ..Target::default() });
            TargetId(self.targets.len() as u32 - 1)
        })
    }

    /// Tells whether no run of an earlier term can be unknown.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.unclaimed.is_empty() || now >= self.settled_at
    }

    /// Gets the targets that may hold runs: those that get work, and those
    /// whose last runs may not have ended.
    pub fn held_targets(&self, now: Duration) -> HashSet<Name> {
        let lapse_after = self.settings.lapse_after();
        let may_run = |target: &&Target| {
            let is_granted =
                target.granted.is_some_and(|granted| now.saturating_sub(granted) <= lapse_after);
            target.facts.availability != Availability::Unlisted
                || (is_granted && !target.runs.is_empty())
        };
        let unclaimed = self.unclaimed.iter().filter(|_| now < self.settled_at).cloned();
        let held = self.targets.iter().filter(may_run).map(|target| target.facts.id.clone());
        held.chain(unclaimed).collect()
    }

    pub(crate) fn set_state(&mut self, id: &Name, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state == JobState::Queued
            && job.spec.schedule.is_none()
            && let Some(count) = self.pending.get_mut(&job.spec.queue)
        {
            *count = count.saturating_sub(1);
        }
        job.state = state;
        if !state.is_final() {
            self.changes.push((id.clone(), state));
        }
    }

    /// Has the next round look at a step if tasks of it wait.
    pub(crate) fn queue_step(&mut self, key: &StepKey) {
        if self.step_state(key).is_some_and(|state| state.is_open && !state.waiting.is_empty()) {
            self.ready.insert(key.clone());
            self.is_changed = true;
        }
    }

    /// Has the next round not look at a step.
    pub(crate) fn unqueue_step(&mut self, key: &StepKey) {
        self.ready.remove(key);
    }

    pub(crate) fn step_state(&self, key: &StepKey) -> Option<&crate::step::StepState> {
        self.jobs.get(&key.job)?.occurrences.get(&key.occurrence)?.get(usize::from(key.step))
    }

    pub(crate) fn step_state_mut(&mut self, key: &StepKey) -> Option<&mut crate::step::StepState> {
        let occurrences = &mut self.jobs.get_mut(&key.job)?.occurrences;
        occurrences.get_mut(&key.occurrence)?.get_mut(usize::from(key.step))
    }
}

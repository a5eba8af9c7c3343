//! The account of a cell, and what changes it from outside.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::Name;
use place::Health;
use quota::Order;
use work::{Config, JobState, Progress, Spec, StepKey, TaskKey};

use crate::{
    action::{Action, Stop, StopCause},
    admit::RequestLoad,
    job::{Job, Origin},
    preempt::{Preemptible, Reservation},
    settings::Settings,
    share::Bucket,
    speed::Baseline,
    step::TaskState,
    target::{Availability, Phase, Run, Target, TargetId, TargetInfo},
};

/// A `Planner` is the exact account of a cell.
#[derive(Debug, Default)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    pub(crate) targets: Vec<Target>,
    /// Time within which a target that runs nothing must have answered to get
    /// new work.
    pub(crate) idle_contact_timeout: Duration,
    pub(crate) target_ids: HashMap<Name, TargetId>,
    pub(crate) jobs: HashMap<Name, Job>,
    /// What each team may have running.
    pub(crate) team_usage: Order,
    /// Steps with tasks that wait.
    pub(crate) waiting_steps: BTreeSet<StepKey>,
    /// Room that is being made for gangs.
    pub(crate) reservations: BTreeMap<StepKey, Reservation>,
    /// Runs that may be moved.
    pub(crate) preemptible: Preemptible,
    /// Requests for advice under way: the number of targets of each, and the
    /// time that it takes, in microseconds.
    pub(crate) advice_requests: HashMap<StepKey, Vec<(usize, u64)>>,
    /// How much of the instances' time the short ones of them take.
    pub(crate) short_request_load: RequestLoad,
    pub(crate) long_request_load: RequestLoad,
    /// Instances that can ask.
    pub(crate) instances: u32,
    /// Occurrences that are to come, by the time that they are due.
    pub(crate) due_occurrences: BTreeSet<(u64, Name)>,
    pub(crate) ended_jobs: BTreeSet<(Duration, Name)>,
    pub(crate) actions: Vec<Action>,
    pub(crate) state_changes: Vec<(Name, JobState)>,
    /// When changes may be told next.
    next_publish_at: Duration,
    /// Jobs whose progress isn't recorded, and since when.
    pub(crate) unrecorded_jobs: BTreeMap<Name, Duration>,
    /// Jobs whose progress is being recorded.
    pub(crate) recording_jobs: HashSet<Name>,
    /// How long a record takes at the moment.
    pub(crate) record_latency: Duration,
    /// Jobs in a final state, which is told once it is recorded.
    pub(crate) unpublished_ends: HashSet<Name>,
    /// First number that runs of inherited jobs may have.
    pub(crate) first_run_number: u32,
    /// Targets that runs of earlier terms may be on, until they have answered.
    pub(crate) unverified_targets: HashSet<Name>,
    /// Whether ended jobs of earlier terms have been looked through.
    pub(crate) has_cleared_ended_jobs: bool,
    /// When unknown runs of earlier terms have surely lapsed.
    pub(crate) recovered_at: Duration,
    pub(crate) pending_jobs: BTreeMap<Name, u32>,
    /// Instances that the placer before had.
    pub(crate) expected_instances: u32,
    /// When the last instance joined, or when the term began.
    pub(crate) last_join_at: Duration,
    /// Usual objective of the jobs of each queue, in milliseconds.
    pub(crate) average_objective_ms: HashMap<Name, u64>,
    /// What each team is owed at the moment.
    buckets: HashMap<Name, Bucket>,
    /// How long runs take against their estimates, by queue.
    pub(crate) run_baselines: HashMap<Name, Baseline>,
    /// Share of targets that are allowed, by queue, in thousandths.
    pub(crate) allowed_ratio_milli: HashMap<Name, u32>,
    /// When the last round was.
    pub(crate) last_round_at: Duration,
    /// Time of day of the last round.
    pub(crate) last_round_unix_ms: u64,
    /// Whether anything has changed since the last round.
    pub(crate) is_changed: bool,
}

impl Planner {
    /// Makes the board of a placer.
    ///
    /// `term` is the number of the placer's term, from 1. Runs of earlier terms
    /// may be on the targets `held` until they have answered or `now` is long
    /// enough ago.
    pub fn new(settings: Settings, term: u32, held_targets: HashSet<Name>, now: Duration) -> Self {
        let recovered_at = now + settings.lapse_timeout();
        let idle_contact_timeout = settings.contact_timeout;
        let first_run_number = term.saturating_sub(1).saturating_mul(settings.run_numbers_per_term);
        Self {
            settings,
            first_run_number,
            unverified_targets: held_targets,
            recovered_at,
            last_join_at: now,
            idle_contact_timeout,
            ..Self::default()
        }
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
        if job.spec.schedule.is_none() {
            let spec = Arc::clone(&job.spec);
            self.update_average_objective(&spec.queue, &spec.steps, &spec.policy);
        }
        if !job.state.is_final() {
            self.state_changes.push((id.clone(), job.state));
        }
        if job.state.is_final() {
            job.ended_at = Some(now);
            self.ended_jobs.insert((now, id.clone()));
        } else {
            if job.state == JobState::Queued && job.spec.schedule.is_none() {
                *self.pending_jobs.entry(job.spec.queue.clone()).or_default() += 1;
            }
            if job.next_occurrence < job.spec.occurrences() {
                self.due_occurrences.insert((job.spec.due_unix_ms(job.next_occurrence), id.clone()));
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
        job.ended_at = Some(now);
        let occurrences = std::mem::take(&mut job.occurrences);
        let (number, spec) = (job.next_occurrence, Arc::clone(&job.spec));
        self.ended_jobs.insert((now, id.clone()));
        self.mark_unrecorded(id, now);
        self.unpublished_ends.insert(id.clone());
        if number < spec.occurrences() {
            self.due_occurrences.remove(&(spec.due_unix_ms(number), id.clone()));
        }
        for (occurrence, states) in occurrences {
            for (step, state) in (0..).zip(states) {
                let key = StepKey { job: id.clone(), occurrence, step };
                self.unqueue_step(&key);
                for (index, task) in (0..).zip(state.tasks) {
                    if let TaskState::Assigned { target, run } = task.state {
                        let task = TaskKey { step: key.clone(), index };
                        self.stop_run(target, &task, run, StopCause::JobEnded, now);
                    }
                }
            }
        }
    }

    /// Counts a run against its target, its team and its job, from a time at
    /// which its target may have been granted a lease.
    pub(crate) fn count_run(
        &mut self,
        id: TargetId,
        task: &TaskKey,
        team: &Name,
        run: Run,
        now: Duration,
    ) {
        self.team_usage.add(team, run.size);
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.run_count += 1;
        }
        let account = &mut self.targets[id.0 as usize];
        account.allocated += run.size;
        account.lease_granted_at = account.lease_granted_at.max(Some(now));
        account.runs.insert(task.clone(), run);
    }

    /// Tells a run to stop. It counts until its end is certain.
    pub(crate) fn stop_run(
        &mut self,
        target: TargetId,
        task: &TaskKey,
        run: u32,
        cause: StopCause,
        now: Duration,
    ) {
        let target = &mut self.targets[target.0 as usize];
        if let Some(known) = target.runs.get_mut(task)
            && known.number == run
            && !matches!(known.phase, Phase::Stopping(_))
        {
            known.phase = Phase::Stopping(now);
        }
        let target = target.info.id.clone();
        self.actions.push(Action::Stop(Stop { target, task: task.clone(), run, cause }));
    }

    /// Takes in what the targets say of themselves. Those that aren't named
    /// are no longer listed.
    pub fn list_targets(&mut self, facts: Vec<TargetInfo>) {
        let mut unlisted: HashSet<TargetId> = self.target_ids.values().copied().collect();
        for facts in facts {
            let id = self.target_id(&facts.id);
            unlisted.remove(&id);
            self.targets[id.0 as usize].info = facts;
        }
        for id in unlisted {
            self.targets[id.0 as usize].info.availability = Availability::Unlisted;
        }
        self.is_changed = true;
    }

    /// Gets the highest end of a target's life that was taken in.
    pub fn seen_end(&self, target: &str, born_unix_ms: u64) -> u64 {
        let target = self.target_ids.get(target).map(|id| &self.targets[id.0 as usize]);
        target.filter(|target| target.born_unix_ms == born_unix_ms).map_or(0, |target| target.last_end)
    }

    /// Gets the highest end of a target that it may forget.
    pub fn recorded_end(&self, target: &str) -> u64 {
        self.target_ids.get(target).map_or(0, |id| self.targets[id.0 as usize].recorded_end())
    }

    /// Takes in how often targets are heard that run nothing.
    pub fn set_idle_poll_interval(&mut self, interval: Duration) {
        self.idle_contact_timeout =
            self.settings.contact_timeout.max(interval + self.settings.idle_contact_margin);
    }

    /// Notes when a target was granted its lease anew, if it was.
    pub fn lease_granted(&mut self, target: &str, at: Option<Duration>) {
        if let Some(id) = self.target_ids.get(target) {
            let target = &mut self.targets[id.0 as usize];
            target.lease_granted_at = target.lease_granted_at.max(at);
        }
    }

    /// Notes that a target does not answer, so that it gets no new work until
    /// it does; gets whether it did before.
    pub fn mark_unreachable(&mut self, target: &str) -> bool {
        let id = self.target_ids.get(target);
        id.is_some_and(|id| self.targets[id.0 as usize].last_contact_at.take().is_some())
    }

    /// Gets what is to be done, and forgets it.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Gets the newest state of each job whose state has changed, and forgets
    /// the changes; none until it is time to tell them.
    pub fn take_state_changes(&mut self, now: Duration) -> Vec<(Name, JobState)> {
        if self.state_changes.is_empty() || now < self.next_publish_at {
            return Vec::new();
        }
        self.next_publish_at = now + self.settings.state_publish_interval;
        let changes = std::mem::take(&mut self.state_changes);
        let newest: BTreeMap<Name, JobState> = changes.into_iter().collect();
        newest.into_iter().collect()
    }

    /// Gets the states of all jobs as they may be told.
    pub fn states(&self) -> Vec<(Name, JobState)> {
        let published = |(id, job): (&Name, &Job)| {
            let is_published = !self.unpublished_ends.contains(id);
            (id.clone(), if is_published { job.state } else { JobState::Active })
        };
        self.jobs.iter().map(published).collect()
    }

    /// Gets the number of jobs that nothing has started of, by queue.
    pub fn pending(&self) -> Vec<(Name, u32)> {
        self.pending_jobs.iter().map(|(queue, count)| (queue.clone(), *count)).collect()
    }

    /// Gets the jobs that ended long ago, and forgets them.
    pub fn take_expired_jobs(&mut self, now: Duration) -> Vec<Name> {
        let mut expired = Vec::new();
        while let Some((at, id)) = self.ended_jobs.first().cloned() {
            if now.saturating_sub(at) < self.settings.ended_job_retention {
                break;
            }
            self.ended_jobs.pop_first();
            self.jobs.remove(&id);
            expired.push(id);
        }
        expired
    }

    pub(crate) fn target_id(&mut self, name: &Name) -> TargetId {
        *self.target_ids.entry(name.clone()).or_insert_with(|| {
            let health = Health::new(self.settings.caution);
            self.targets.push(Target { health, ..Target::default() });
            TargetId(self.targets.len() as u32 - 1)
        })
    }

    /// Tells whether no run of an earlier term can be unknown.
    pub fn is_recovered(&self, now: Duration) -> bool {
        self.unverified_targets.is_empty() || now >= self.recovered_at
    }

    /// Gets the targets that may hold runs: those that get work, and those
    /// whose last runs may not have ended.
    pub fn held_targets(&self, now: Duration) -> HashSet<Name> {
        let lapse_timeout = self.settings.lapse_timeout();
        let may_run = |target: &&Target| {
            let is_granted =
                target.lease_granted_at.is_some_and(|granted| now.saturating_sub(granted) <= lapse_timeout);
            target.info.availability != Availability::Unlisted
                || (is_granted && !target.runs.is_empty())
        };
        let unverified_targets = self.unverified_targets.iter().filter(|_| now < self.recovered_at).cloned();
        let held = self.targets.iter().filter(may_run).map(|target| target.info.id.clone());
        held.chain(unverified_targets).collect()
    }

    pub(crate) fn set_state(&mut self, id: &Name, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state == JobState::Queued
            && job.spec.schedule.is_none()
            && let Some(count) = self.pending_jobs.get_mut(&job.spec.queue)
        {
            *count = count.saturating_sub(1);
        }
        job.state = state;
        if !state.is_final() {
            self.state_changes.push((id.clone(), state));
        }
    }

    /// Has the next round look at a step if tasks of it wait.
    pub(crate) fn queue_step(&mut self, key: &StepKey) {
        if self.step_state(key).is_some_and(|state| state.is_open && !state.waiting.is_empty()) {
            self.waiting_steps.insert(key.clone());
            self.is_changed = true;
        }
    }

    /// Has the next round not look at a step.
    pub(crate) fn unqueue_step(&mut self, key: &StepKey) {
        self.waiting_steps.remove(key);
    }

    pub(crate) fn step_state(&self, key: &StepKey) -> Option<&crate::step::StepState> {
        self.jobs.get(&key.job)?.occurrences.get(&key.occurrence)?.get(usize::from(key.step))
    }

    pub(crate) fn step_state_mut(&mut self, key: &StepKey) -> Option<&mut crate::step::StepState> {
        let occurrences = &mut self.jobs.get_mut(&key.job)?.occurrences;
        occurrences.get_mut(&key.occurrence)?.get_mut(usize::from(key.step))
    }
}

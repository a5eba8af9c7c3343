//! State of a cell, and the events that change it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{Name, Resources};
use place::Health;
use quota::Usage;
use work::{Config, JobState, MAX_TASKS, Progress, Spec, StepKey, TaskKey};

use crate::{
    action::{Action, Stop, StopCause},
    admit::RequestLoad,
    blame::Blame,
    control::Control,
    crash::{Crash, RecentCrashes},
    ends::ReleasedRun,
    evacuation::Evacuation,
    job::{Job, Origin},
    preempt::{Preemptible, Reservation},
    probe::Probe,
    reappeared::{GivenUpRuns, ReappearedRun},
    recovery::{LastOrder, UnknownRuns},
    restarts::ProcessRecord,
    settings::Settings,
    share::Bucket,
    speed::{Baseline, record::Inherited},
    step::TaskState,
    target::{Availability, Phase, RecordedEnd, Run, Target, TargetId, TargetInfo},
};

/// State of one cell, from which the placer's decisions are made.
#[derive(Debug, Default)]
pub struct Planner {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<Config>,
    pub(crate) targets: Vec<Target>,
    /// Time since the last contact after which a target without runs gets no
    /// new work.
    pub(crate) idle_contact_timeout: Duration,
    pub(crate) target_ids: HashMap<Name, TargetId>,
    /// Time at which the list of targets was last known to be current; `None`
    /// before the first confirmation.
    pub(crate) targets_confirmed_at: Option<Duration>,
    /// Evacuated data centres.
    pub(crate) evacuation: Evacuation,
    pub(crate) jobs: HashMap<Name, Job>,
    /// Resources of the runs of each team that may exist.
    pub(crate) team_usage: Usage,
    /// Steps with waiting tasks.
    pub(crate) waiting_steps: BTreeSet<StepKey>,
    /// Lower-ranked steps that have had their turn in the rotation of searches.
    pub(crate) searched_steps: HashSet<StepKey>,
    /// Rounds that ended before all waiting steps were considered.
    pub(crate) limited_rounds: u64,
    /// Room that is reserved for gangs.
    pub(crate) reservations: BTreeMap<StepKey, Reservation>,
    /// Cache of the runs that may be preempted.
    pub(crate) preemptible: Preemptible,
    /// Advice requests in flight: number of targets and expected time in
    /// microseconds.
    pub(crate) advice_requests: HashMap<StepKey, Vec<(usize, u64)>>,
    /// Share of the instances' time that the short advice requests take.
    pub(crate) short_request_load: RequestLoad,
    pub(crate) long_request_load: RequestLoad,
    /// Number of instances that can request advice.
    pub(crate) instances: u32,
    /// Jobs with occurrences to come, by the due time of the next one in
    /// milliseconds since 1970.
    pub(crate) due_occurrences: BTreeSet<(u64, Name)>,
    pub(crate) ended_jobs: BTreeSet<(Duration, Name)>,
    pub(crate) actions: Vec<Action>,
    pub(crate) released_runs: Vec<ReleasedRun>,
    pub(crate) given_up_runs: GivenUpRuns,
    pub(crate) reappeared_runs: Vec<ReappearedRun>,
    pub(crate) crashes: Vec<Crash>,
    pub(crate) recent_crashes: RecentCrashes,
    pub(crate) blames: Vec<Blame>,
    pub(crate) probes: Vec<Probe>,
    pub(crate) state_changes: Vec<(Name, JobState)>,
    /// Earliest time of the next publication of state changes.
    next_publish_at: Duration,
    /// Jobs with unrecorded progress, and the time since when.
    pub(crate) unrecorded_jobs: BTreeMap<Name, Duration>,
    /// Jobs with a record in flight.
    pub(crate) recording_jobs: HashSet<Name>,
    /// Time that recording takes at present.
    pub(crate) record_latency: Duration,
    /// Jobs in a final state that is not recorded yet; the state is published
    /// once it is recorded.
    pub(crate) unpublished_ends: HashSet<Name>,
    /// Number above which the run numbers of inherited jobs start.
    pub(crate) run_number_base: u32,
    /// Targets that may hold runs of earlier terms, or ends of such runs, and
    /// have not listed all of them yet.
    /// Each with the time at which all leases of earlier terms have expired.
    pub(crate) unverified_targets: HashMap<Name, Duration>,
    /// Time at which the term began.
    pub(crate) began_at: Duration,
    /// All runs of earlier terms that may exist on a target, as far as known from
    /// an earlier placer.
    pub(crate) inherited_runs: HashMap<Name, Vec<(TaskKey, u32)>>,
    /// All runs of the known jobs that may exist on a target, where others are unknown.
    pub(crate) inherited_known_runs: HashMap<Name, Vec<(TaskKey, u32)>>,
    /// Jobs of earlier terms that have no other runs than the handed-over ones.
    pub(crate) known_jobs: HashSet<Name>,
    /// Jobs with ends on a target that an earlier placer has not recorded.
    pub(crate) inherited_ends: HashMap<Name, Vec<Name>>,
    /// Last orders that may have been sent to targets in earlier terms, as far as
    /// known from an earlier placer.
    pub(crate) last_orders: HashMap<Name, LastOrder>,
    /// What runs of jobs that have ended may take on targets of which no runs are
    /// known, by team.
    pub(crate) ended_usage: HashMap<Name, Resources>,
    /// Tasks that may have runs on targets that have not listed them.
    pub(crate) unknown_runs: UnknownRuns,
    /// Processes of the targets, as recorded by an earlier placer.
    pub(crate) inherited_processes: ProcessRecord,
    /// Targets whose last restart is not recorded yet.
    pub(crate) unrecorded_restarts: Vec<TargetId>,
    /// Targets that were found to have an unconfirmed process.
    pub(crate) suspected_restarts: Vec<Name>,
    /// Time at which the leases of targets that were recorded as restarted have
    /// expired, if they are the longest that targets accept.
    pub(crate) inherited_restarts_until: Duration,
    /// Whether inherited jobs that have ended were marked for removal.
    pub(crate) has_cleared_ended_jobs: bool,
    pub(crate) pending_jobs: BTreeMap<Name, u32>,
    /// Number of instances at the end of the previous term; 0 if unknown.
    pub(crate) expected_instances: u32,
    /// Time at which the last instance joined, or at which the term began.
    pub(crate) last_join_at: Duration,
    /// Moving average of the objectives of each queue's jobs, in milliseconds.
    pub(crate) average_objective_ms: HashMap<Name, u64>,
    /// Token bucket of each team.
    buckets: HashMap<Name, Bucket>,
    /// Smallest task of the jobs of this term, in each dimension.
    pub(crate) smallest_task: Option<Resources>,
    /// Time at which full targets were last closed.
    pub(crate) last_closing_at: Duration,
    /// Usual ratio of run time to estimate in each queue.
    pub(crate) run_baselines: HashMap<Name, Baseline>,
    /// Usual speeds of targets, as recorded by an earlier placer.
    pub(crate) inherited_speeds: Inherited,
    /// Moving average of the fraction of targets that are allowed, by queue, in
    /// thousandths.
    pub(crate) allowed_ratio_milli: HashMap<Name, u32>,
    /// Time of the last round.
    pub(crate) last_round_at: Duration,
    /// Wall clock time of the last round, in milliseconds since 1970.
    pub(crate) last_round_unix_ms: u64,
    /// Control of backfill beside tasks with a latency goal.
    pub(crate) control: Control,
    /// Whether the state has changed since the last round.
    pub(crate) is_changed: bool,
}

impl Planner {
    /// Creates the state of a new term.
    ///
    /// `term` is the number of the term, from 1. Runs of earlier terms may
    /// exist on `held_targets` until these targets have answered, or until all
    /// leases granted before `now` have expired.
    pub fn new(settings: Settings, term: u32, held_targets: HashSet<Name>, now: Duration) -> Self {
        let expired_at = now + settings.lapse_timeout();
        let idle_contact_timeout = settings.contact_timeout;
        let run_number_base = term.saturating_sub(1).saturating_mul(settings.run_numbers_per_term);
        let mut planner = Self {
            settings,
            run_number_base,
            unverified_targets: held_targets.into_iter().map(|name| (name, expired_at)).collect(),
            began_at: now,
            last_join_at: now,
            idle_contact_timeout,
            ..Self::default()
        };
        planner.refresh_unknown_runs();
        planner
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, config: Arc<Config>) {
        self.config = config;
        self.is_changed = true;
    }

    /// Adds a job accepted in this term, unless it is known.
    pub fn accept(&mut self, id: &Name, spec: Spec, now: Duration) {
        self.add_job(id, spec, Origin::Own, None, now);
    }

    /// Adds a job accepted in an earlier term, with its recorded progress.
    pub fn inherit(&mut self, id: &Name, spec: Spec, progress: Option<&Progress>, now: Duration) {
        self.add_job(id, spec, Origin::Inherited, progress, now);
    }

    /// Adds a job that ended in an earlier term.
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
        self.control.note_steps(&spec.steps);
        spec.steps.iter().for_each(|step| self.note_task_size(step));
        // Versions whose count of tasks wrapped accepted such jobs. Their tasks
        // would not fit into memory.
        let is_oversized = spec.task_count() > MAX_TASKS;
        let progress = progress.filter(|progress| !is_oversized || progress.state.is_final());
        let mut job = Job::new(Arc::new(spec), origin, progress);
        if origin == Origin::Own
            && let Some(team) = self.config.teams.get(&job.spec.team)
        {
            let bucket = self.buckets.entry(job.spec.team.clone());
            let bucket = bucket.or_insert_with(|| Bucket::new(team.weight, now));
            job.entitlement = bucket.take(team.weight, now);
        }
        if job.spec.schedule.is_none() {
            let objective_ms = job.chains.objective_ms(&job.spec.policy);
            self.update_average_objective(&job.spec.queue, objective_ms);
        }
        let is_ended = job.state.is_final();
        if !is_ended {
            self.state_changes.push((id.clone(), job.state));
        }
        if is_ended {
            job.ended_at = Some(now);
            self.ended_jobs.insert((now, id.clone()));
        } else {
            if job.state == JobState::Queued && job.spec.schedule.is_none() {
                *self.pending_jobs.entry(job.spec.queue.clone()).or_default() += 1;
            }
            if job.next_occurrence < job.spec.occurrences() {
                self.due_occurrences
                    .insert((job.spec.due_unix_ms(job.next_occurrence), id.clone()));
            }
        }
        let begun: Vec<u32> = job.occurrences.keys().copied().collect();
        self.jobs.insert(id.clone(), job);
        if is_ended {
            self.note_ended_job(id);
        }
        for occurrence in begun {
            self.open_steps(id, occurrence, now);
        }
        self.is_changed = true;
        if is_oversized && self.jobs.get(id).is_some_and(|job| !job.state.is_final()) {
            self.end_job(id, JobState::Failed, now);
        }
    }

    /// Cancels a job and stops its runs.
    pub fn cancel(&mut self, id: &Name, now: Duration) {
        if self.jobs.get(id).is_some_and(|job| !job.state.is_final()) {
            self.end_job(id, JobState::Cancelled, now);
        }
    }

    /// Ends a job and stops its runs.
    pub(crate) fn end_job(&mut self, id: &Name, state: JobState, now: Duration) {
        self.set_state(id, state);
        self.note_ended_job(id);
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

    /// Charges a run to its target, its team and its job. The target may have
    /// been granted a lease up to `now`.
    pub(crate) fn charge_run(
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
        let target_state = &mut self.targets[id.0 as usize];
        target_state.allocate(&run);
        target_state.lease_granted_at = target_state.lease_granted_at.max(Some(now));
        target_state.extend_lease(now + self.settings.lapse_timeout());
        target_state.runs.insert(task.clone(), run);
    }

    /// Orders a run to stop. The run stays charged until its end is certain.
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

    /// Replaces the list of targets. Known targets that are missing from
    /// `targets` become unlisted.
    pub fn set_targets(&mut self, targets: Vec<TargetInfo>, now: Duration) {
        let mut unlisted: HashSet<TargetId> = self.target_ids.values().copied().collect();
        for info in targets {
            let id = self.target_id(&info.id);
            unlisted.remove(&id);
            let target = &mut self.targets[id.0 as usize];
            target.has_drained = info.availability == Availability::Draining;
            target.is_evacuated = self.evacuation.covers(&info.data_centre);
            if self.settings.max_evacuation_age.is_some() {
                target.update_cold(&info, now);
            }
            target.info = info;
            self.check_listed_process(id, now);
        }
        for id in unlisted {
            self.targets[id.0 as usize].info.availability = Availability::Unlisted;
        }
        self.is_changed = true;
    }

    /// Returns whether the list of targets was confirmed recently enough to start
    /// work by it.
    pub fn is_list_current(&self, now: Duration) -> bool {
        let age = self.targets_confirmed_at.map(|at| now.saturating_sub(at));
        age.is_none_or(|age| age < self.settings.max_list_age)
    }

    /// Records that the list of targets was current at `at`.
    pub fn targets_confirmed(&mut self, at: Duration) {
        self.targets_confirmed_at = self.targets_confirmed_at.max(Some(at));
    }

    /// Returns the highest number of an end applied from the target process
    /// that started at `born_unix_ms`; 0 if there is none.
    pub fn last_end(&self, target: &str, born_unix_ms: u64) -> u64 {
        let target = self.target_ids.get(target).map(|id| &self.targets[id.0 as usize]);
        target
            .filter(|target| target.born_unix_ms == born_unix_ms)
            .map_or(0, |target| target.last_end)
    }

    /// Returns up to which number a target may forget its ends.
    pub fn recorded_end(&self, target: &str) -> RecordedEnd {
        let target = self.target_ids.get(target).map(|id| &self.targets[id.0 as usize]);
        target.map(Target::recorded_end).unwrap_or_default()
    }

    /// Sets the interval at which targets without runs are polled.
    pub fn set_idle_poll_interval(&mut self, interval: Duration) {
        self.idle_contact_timeout =
            self.settings.contact_timeout.max(interval + self.settings.idle_contact_margin);
    }

    /// Records the time of a lease grant to a target. To be called before the
    /// grant is sent, because the lease holds even if the answer is late or lost.
    pub fn lease_granted(&mut self, target: &str, at: Duration) {
        if let Some(id) = self.target_ids.get(target) {
            let target = &mut self.targets[id.0 as usize];
            target.lease_granted_at = target.lease_granted_at.max(Some(at));
            target.extend_lease(at + self.settings.lapse_timeout());
        }
    }

    /// Records that a target has taken a lease of this length by `at`, as its
    /// answer shows.
    pub fn lease_taken(&mut self, target: &str, lease: Duration, at: Duration) {
        if let Some(id) = self.target_ids.get(target) {
            let lease = lease.min(self.settings.max_target_lease);
            let target = &mut self.targets[id.0 as usize];
            target.extend_lease(at + self.settings.expiry_of(lease));
        }
    }

    /// Marks a target as unreachable, so that no new work is placed on it until
    /// it answers. Returns whether it was reachable before.
    pub fn mark_unreachable(&mut self, target: &str) -> bool {
        let id = self.target_ids.get(target);
        id.is_some_and(|id| self.targets[id.0 as usize].last_contact_at.take().is_some())
    }

    /// Removes and returns the pending orders and requests.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of rounds since the last call that ended before all
    /// waiting steps were considered.
    pub fn take_limited_rounds(&mut self) -> u64 {
        std::mem::take(&mut self.limited_rounds)
    }

    /// Removes and returns the latest state of each job whose state has
    /// changed; empty until the publish interval has passed.
    pub fn take_state_changes(&mut self, now: Duration) -> Vec<(Name, JobState)> {
        if self.state_changes.is_empty() || now < self.next_publish_at {
            return Vec::new();
        }
        self.next_publish_at = now + self.settings.state_publish_interval;
        let changes = std::mem::take(&mut self.state_changes);
        let newest: BTreeMap<Name, JobState> = changes.into_iter().collect();
        newest.into_iter().collect()
    }

    /// Returns the states of all jobs, as far as they may be published.
    pub fn states(&self) -> Vec<(Name, JobState)> {
        let published = |(id, job): (&Name, &Job)| {
            let is_published = !self.unpublished_ends.contains(id);
            (id.clone(), if is_published { job.state } else { JobState::Active })
        };
        self.jobs.iter().map(published).collect()
    }

    /// Returns the number of queued jobs of each queue.
    pub fn pending(&self) -> Vec<(Name, u32)> {
        self.pending_jobs.iter().map(|(queue, count)| (queue.clone(), *count)).collect()
    }

    /// Removes and returns the jobs whose retention time after their end has
    /// passed.
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
            let health = Health::new(self.settings.health_thresholds);
            self.targets.push(Target { health, ..Target::default() });
            TargetId(self.targets.len() as u32 - 1)
        })
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

    /// Adds a step to the next round if it is open and has waiting tasks.
    pub(crate) fn queue_step(&mut self, key: &StepKey) {
        if self.step_state(key).is_some_and(|state| state.is_open && !state.waiting.is_empty()) {
            self.waiting_steps.insert(key.clone());
            self.is_changed = true;
        }
    }

    /// Removes a step from the next round.
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

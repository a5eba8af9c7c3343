//! Event loop of a placer.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{Name, clock, emit};
use plan::{Action, AdviceRequest, Planner};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant, MissedTickBehavior},
};

use crate::{
    context::Context,
    external::TargetList,
    leadership::{EndReason, Leadership},
    link::{self, LeaderFrame, PeerLink},
    metrics::Metrics,
    placer::{
        event::Event,
        fences::Fences,
        follow, order,
        peers::Peers,
        progress, session,
        session::{PollSchedule, Session},
        snapshot::RecordedNames,
        speeds, state,
        state::StoredState,
    },
    settings::Switch,
};

/// Interval between rounds while no events arrive.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum interval between the starts of two placement rounds, as a multiple
/// of the duration of the first. The remaining time is for orders and answers.
const ROUND_INTERVAL_FACTOR: u32 = 6;

/// Interval between broadcasts of the queue status.
const QUEUES_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between broadcasts of the queue status at the beginning of a term,
/// so that frontends soon know which queues refuse jobs.
const FIRST_QUEUES_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between removals of expired jobs.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between checks for held targets that no run can be on any more.
const HELD_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between writes of progress, so that ends of runs in quick
/// succession share a write.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(60);

/// Back-off after a failed write of progress.
const RECORD_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of progress writes in flight. More than one is allowed so
/// that a slow key-value service delays an end by one answer only.
const MAX_RECORDS_IN_FLIGHT: u32 = 16;

/// Time limit for reading the stored state at the beginning of a term. After
/// that, another instance may have better access to the key-value service.
const READ_TIMEOUT: Duration = Duration::from_secs(6);

/// Back-off after a failed read of the stored state.
const READ_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Time for a node to prepare for leadership.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(700);

/// Sole owner of the account of a cell's targets during one term.
pub(super) struct Placer {
    pub(super) ctx: Arc<Context>,
    pub(super) leadership: Arc<Leadership>,
    pub(super) planner: Planner,
    pub(super) lease: Duration,
    pub(super) sessions: HashMap<Name, Arc<Session>>,
    pub(super) poll_schedule: Arc<PollSchedule>,
    /// Source of the fencing tokens of orders.
    pub(super) fences: Arc<Fences>,
    /// Last target with a session at each address.
    pub(super) addresses: HashMap<Name, Name>,
    /// Targets in the current target list.
    pub(super) listed: TargetList,
    /// Targets recorded as possibly having runs.
    pub(super) held: HashSet<Name>,
    /// Targets recorded as closed to new work.
    pub(super) closed: HashSet<Name>,
    /// Targets recorded in this term as restarted.
    pub(super) restarted: HashSet<Name>,
    /// Record of the targets' usual speeds.
    pub(super) speeds: speeds::Recording,
    /// Recorded number of instances that have joined.
    pub(super) recorded_instances: u32,
    /// Time at which it was last logged which tasks wait for targets.
    pub(super) recovery_logged_at: Duration,
    /// Whether a snapshot of the held targets is being recorded.
    pub(super) is_recording_held: bool,
    /// Whether the last record of the held targets failed or is in flight.
    pub(super) is_held_unrecorded: bool,
    /// Number of progress writes in flight.
    pub(super) records_in_flight: u32,
    /// Start of the last progress write; in the future during a back-off.
    pub(super) last_record_at: Duration,
    pub(super) peers: Peers,
    /// Advice requests that no instance has capacity for yet.
    pub(super) unsent_advice: Vec<AdviceRequest>,
    /// Whether the last round was made by a current list of targets.
    pub(super) is_list_current: bool,
    /// Data centres of the targets of each pool; empty if there are no evacuations.
    pub(super) pools: Vec<(Name, Vec<Name>)>,
    /// Whether the last round was made by current evacuations.
    pub(super) are_evacuations_current: bool,
    /// Earliest start of the next placement round.
    pub(super) next_round_at: Duration,
    /// Start of the current search for a successor; `None` if there is no
    /// search.
    pub(super) successor_sought_at: Option<Instant>,
    /// Whether all nodes have been asked to take over during shutdown.
    pub(super) has_asked_all: bool,
    /// Node that is ready to lead.
    pub(super) successor: Option<Name>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) tasks: JoinSet<()>,
}

/// Places the jobs of the cell until the leadership is lost or the process
/// ends. Returns the reason.
pub(crate) async fn run(ctx: Arc<Context>, leadership: Arc<Leadership>) -> EndReason {
    let started_at = clock::now();
    let recorded = loop {
        match state::read(&ctx).await {
            Ok(recorded) => break recorded,
            Err(error) => {
                emit!(ctx.log, warn, StoreRequestFailed; "request" => "read of jobs", "error" => %error);
            }
        }
        if clock::now().saturating_sub(started_at) > READ_TIMEOUT {
            return EndReason::Unfit;
        }
        time::sleep(READ_RETRY_BACKOFF).await;
    };
    let now = clock::now();
    emit!(ctx.log, info, JobsLoaded; "jobs" => recorded.jobs.len(),
        "cancelled" => recorded.cancelled.len(), "held" => recorded.held.len(),
        "ms" => now.saturating_sub(started_at).as_millis() as u64);
    Metrics::observe(&ctx.metrics.read_time, now.saturating_sub(started_at));
    ctx.metrics.takeovers.inc();
    let (sender, mut events) = mpsc::unbounded_channel();
    let mut placer = Placer::new(ctx, leadership, recorded, sender, now);
    placer.run_loop(&mut events).await
}

impl Placer {
    fn new(
        ctx: Arc<Context>,
        leadership: Arc<Leadership>,
        recorded: StoredState,
        events: mpsc::UnboundedSender<Event>,
        now: Duration,
    ) -> Self {
        let max_lease = Duration::from_millis(ctx.settings.bounds.hold_max_ms);
        let defaults = plan::Settings::default();
        let settings = plan::Settings {
            max_keys_per_batch: progress::MAX_BATCH_ENTRIES,
            preemption: plan::Preemption {
                max_per_task: ctx.settings.preemption.moves_per_task,
                slack: Duration::from_millis(ctx.settings.preemption.slack_ms),
                ..defaults.preemption
            },
            interference: plan::Interference {
                is_enabled: ctx.settings.interference == Switch::On,
                max_harm: Duration::from_millis(ctx.settings.bounds.harm_ms),
                pace_delay: Duration::from_millis(ctx.settings.bounds.pace_ms),
            },
            target_lease: defaults.target_lease.min(max_lease),
            max_evacuation_age: ctx.settings.max_evacuation_age(),
            max_target_lease: max_lease,
            ended_job_retention: Duration::from_secs_f64(
                ctx.settings.bounds.status_s.max(0.0) + 30.0,
            ),
            ..defaults
        };
        let lease = settings.target_lease;
        let expected_instances = recorded.closed.instances;
        leadership.guard.reset(recorded.guard);
        let mut planner =
            Planner::new(settings, leadership.term as u32, recorded.held.clone(), now);
        planner.configure(ctx.configs.current());
        let confirmed_at = ctx.evacuations.confirmed_at();
        planner.evacuate(ctx.evacuations.current(), confirmed_at, now);
        let mut processes = recorded.closed.processes();
        let succession = &leadership.succession;
        processes.restarted.extend(succession.restarted.iter().cloned());
        processes.unconfirmed.extend(succession.unconfirmed.iter().cloned());
        planner.inherit_processes(processes, now);
        planner.inherit_known_jobs(succession.known_jobs.iter().cloned());
        planner
            .inherit_holdings(succession.holdings.iter().cloned().map(Into::into).collect(), now);
        planner.expect_instances(expected_instances);
        for (id, spec, progress) in recorded.jobs {
            if spec.task_count() > work::MAX_TASKS {
                emit!(ctx.log, error, JobOversized; "job" => %id, "tasks" => spec.task_count());
            }
            planner.inherit(&id, spec, progress.as_ref(), now);
        }
        for (id, state) in recorded.ended {
            planner.inherit_ended(&id, state, now);
        }
        // In records of earlier releases, closed targets may have been opened since.
        let is_valid = recorded.closed.is_lasting || recorded.closed.term + 1 == leadership.term;
        let closed = recorded.closed.closed.iter().filter(|_| is_valid);
        for (target, runs) in succession.unreachable_targets.iter().chain(closed.clone()) {
            planner.adopt_unreachable(target, runs, now);
        }
        // They get no work before they are recorded as open, so that the record holds
        // for the next placer, too.
        let closed: HashSet<Name> = closed.map(|(target, _)| target.clone()).collect();
        planner.set_closed_targets(&closed);
        for id in recorded.cancelled {
            planner.cancel(&id, now);
        }
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::follow_jobs(Arc::clone(&ctx), recorded.revision, events.clone()));
        tasks.spawn(follow::follow_targets(Arc::clone(&ctx), events.clone()));
        tasks.spawn(follow_config(Arc::clone(&ctx), events.clone()));
        let (joined, joins) = mpsc::unbounded_channel();
        tasks.spawn(link::accept_links(Arc::clone(&ctx), joined.clone()));
        tasks.spawn(forward_joins(joins, events.clone()));
        let fences = Arc::new(Fences::new(leadership.term));
        let mut placer = Self {
            ctx,
            leadership,
            planner,
            lease,
            sessions: HashMap::new(),
            poll_schedule: Arc::default(),
            fences,
            addresses: HashMap::new(),
            listed: TargetList::new(),
            held: recorded.held,
            closed,
            restarted: HashSet::new(),
            speeds: speeds::Recording::default(),
            recorded_instances: 0,
            recovery_logged_at: Duration::ZERO,
            is_recording_held: false,
            is_held_unrecorded: false,
            records_in_flight: 0,
            last_record_at: Duration::ZERO,
            peers: Peers::default(),
            unsent_advice: Vec::new(),
            is_list_current: true,
            pools: Vec::new(),
            are_evacuations_current: true,
            next_round_at: Duration::ZERO,
            successor_sought_at: None,
            has_asked_all: false,
            successor: None,
            events,
            tasks,
        };
        placer.inherit_speeds(recorded.speeds, now);
        placer.add_own_node();
        placer
    }

    /// Processes events until the term ends. Returns the reason.
    async fn run_loop(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) -> EndReason {
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let started_at = Instant::now();
        let mut queues_at = started_at;
        let mut expiry_at = Instant::now();
        let mut held_at = Instant::now();
        let ctx = Arc::clone(&self.ctx);
        loop {
            tokio::select! {
                event = events.recv() => {
                    let mut next = event;
                    while let Some(event) = next {
                        match self.handle(event) {
                            None => {}
                            Some(EndReason::HandedOver) => return self.hand_over(events).await,
                            Some(ending) => return ending,
                        }
                        next = events.try_recv().ok();
                    }
                }
                _ = tick.tick() => self.planner.mark_changed(),
                () = ctx.stopped(), if self.successor_sought_at.is_none() => self.find_successor(),
            }
            let has_timed_out =
                self.successor_sought_at.is_some_and(|at| at.elapsed() >= SUCCESSOR_TIMEOUT);
            if ctx.is_stopping() && has_timed_out {
                if self.has_asked_all {
                    self.flush_records(events).await;
                    return EndReason::Stopped;
                }
                self.has_asked_all = true;
            }
            let is_unconfirmed = self.leadership.is_unconfirmed(clock::now());
            let needs_successor = is_unconfirmed || ctx.is_stopping();
            if needs_successor && (has_timed_out || self.successor_sought_at.is_none()) {
                self.find_successor();
            } else if has_timed_out {
                self.successor_sought_at = None;
            }
            self.run_round();
            let is_new = started_at.elapsed() < QUEUES_INTERVAL;
            if queues_at.elapsed() >= if is_new { FIRST_QUEUES_INTERVAL } else { QUEUES_INTERVAL } {
                queues_at = Instant::now();
                self.publish_queues();
                self.report_control(clock::now());
            }
            if expiry_at.elapsed() >= EXPIRY_INTERVAL {
                expiry_at = Instant::now();
                self.remove_expired();
            }
            if held_at.elapsed() >= HELD_INTERVAL {
                held_at = Instant::now();
                self.update_held();
                self.update_speeds(clock::now());
                self.offer_to_stronger();
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Runs a placement round if one is due, and sends and records the results.
    fn run_round(&mut self) {
        let now = clock::now();
        self.log_list_age(now);
        self.update_evacuations(now);
        if self.leadership.is_valid(now) && now >= self.next_round_at {
            self.planner.decide(now, clock::unix_ms());
            // Under load, the wait lets a round process many events at once.
            let duration = clock::now().saturating_sub(now);
            Metrics::observe(&self.ctx.metrics.round_time, duration);
            self.ctx.metrics.limited_rounds.inc_by(self.planner.take_limited_rounds());
            self.next_round_at = now + duration * ROUND_INTERVAL_FACTOR;
        }
        if self.planner.awaits_opening(now) {
            self.record_held();
        }
        self.log_recovery(now);
        for request in std::mem::take(&mut self.unsent_advice) {
            self.request_advice(request);
        }
        for run in self.planner.take_released_runs() {
            self.log_release(&run);
        }
        for run in self.planner.take_reappeared_runs() {
            self.log_reappeared(&run);
        }
        for blame in self.planner.take_blames() {
            self.log_blame(&blame);
        }
        for probe in self.planner.take_probes() {
            self.log_probe(&probe);
        }
        for crash in self.planner.take_crashes() {
            self.log_crash(&crash);
        }
        for claim in self.planner.take_claims() {
            self.log_claim(&claim);
        }
        for action in self.planner.take_actions() {
            self.execute(action);
        }
        let changes = self.planner.take_state_changes(now);
        for (job, state) in changes.iter().filter(|(_, state)| state.is_final()) {
            emit!(self.ctx.log, info, JobEnded; "job" => %job, "state" => ?state,
                "term" => self.leadership.term);
        }
        if !changes.is_empty() {
            self.peers.broadcast(&LeaderFrame::States(changes));
        }
        self.record_progress(now);
    }

    fn record_progress(&mut self, now: Duration) {
        if self.records_in_flight >= MAX_RECORDS_IN_FLIGHT
            || now.saturating_sub(self.last_record_at) < MIN_RECORD_INTERVAL
        {
            return;
        }
        self.record_batches(now);
    }

    /// Starts writes of batches until no batch is left or the maximum is in
    /// flight.
    pub(super) fn record_batches(&mut self, now: Duration) {
        while self.records_in_flight < MAX_RECORDS_IN_FLIGHT
            && let Some(batch) = self.planner.take_batch(now)
        {
            self.records_in_flight += 1;
            self.last_record_at = now;
            let (ctx, leadership) = (Arc::clone(&self.ctx), Arc::clone(&self.leadership));
            self.tasks.spawn(progress::record(ctx, leadership, batch, self.events.clone()));
        }
    }

    fn execute(&mut self, action: Action) {
        let (ctx, leadership) = (Arc::clone(&self.ctx), Arc::clone(&self.leadership));
        let events = self.events.clone();
        match action {
            Action::Start(start) => match self.sessions.get(&start.target) {
                Some(session) => {
                    let session = Arc::clone(session);
                    session.expect_start(clock::now());
                    let listed = self.listed.get(&start.target);
                    let data_centre =
                        listed.map(|(info, _)| info.data_centre.clone()).unwrap_or_default();
                    self.tasks.spawn(order::start(
                        ctx,
                        leadership,
                        session,
                        start,
                        data_centre,
                        self.lease,
                        events,
                    ));
                }
                None => order::refuse_start(&ctx, leadership.term, start, &events),
            },
            Action::Stop(stop) => {
                if let Some(session) = self.sessions.get(&stop.target) {
                    self.tasks.spawn(order::stop(
                        ctx,
                        leadership,
                        Arc::clone(session),
                        stop,
                        events,
                    ));
                }
            }
            Action::Pace(pace) => {
                if let Some(session) = self.sessions.get(&pace.target) {
                    let session = Arc::clone(session);
                    self.tasks.spawn(order::pace(ctx, leadership, session, pace, events));
                }
            }
            Action::RequestAdvice(request) => self.request_advice(request),
            Action::Poll(target) => {
                if let Some(session) = self.sessions.get(&target) {
                    self.tasks.spawn(session::poll_once(
                        ctx,
                        leadership,
                        Arc::clone(session),
                        events,
                    ));
                }
            }
        }
    }

    /// Processes one event. Returns the reason if the term has to end.
    pub(super) fn handle(&mut self, event: Event) -> Option<EndReason> {
        let now = clock::now();
        match event {
            Event::Accepted(id, spec) => self.planner.accept(&id, *spec, now),
            Event::Cancelled(id) => self.planner.cancel(&id, now),
            Event::ConfigChanged(config) => self.planner.configure(config),
            Event::TargetsChanged(listed) => self.apply_list(listed, now),
            Event::TargetsConfirmed(at) => self.planner.targets_confirmed(at),
            Event::SnapshotRecorded(held) => {
                self.is_recording_held = false;
                // A failed record is retried by `update_held`.
                if let Some(RecordedNames { held, closed, restarted, instances }) = held {
                    self.recorded_instances = instances;
                    self.is_held_unrecorded = false;
                    self.held = held;
                    self.planner.set_closed_targets(&closed);
                    self.log_closed(&closed);
                    self.closed = closed;
                    self.planner.set_recorded_restarts(&restarted);
                    self.restarted = restarted;
                    self.start_sessions();
                    self.record_restarts();
                }
            }
            Event::SpeedsRecorded(record) => self.speeds_recorded(record),
            Event::LeaseGranted { target, at } => self.planner.lease_granted(&target, at),
            Event::LeaseTaken { target, lease, at } => {
                self.planner.lease_taken(&target, lease, at);
            }
            Event::RestartSuspected { target } => {
                self.planner.restart_suspected(&target, now);
                self.note_suspected_restarts();
                self.record_restarts();
            }
            Event::TargetListed { target, requested_at, listing } => {
                self.log_ends(&target, &listing);
                self.planner.apply_listing(&target, requested_at, &listing, now);
                self.record_restarts();
                match self.sessions.get(&target) {
                    Some(session) => session.set_recorded_end(self.planner.recorded_end(&target)),
                    // An answer to a session that has ended. No order can be sent
                    // until the target has a session again.
                    None => drop(self.planner.mark_unreachable(&target)),
                }
            }
            Event::TargetUnreachable { target, reason } => {
                if self.planner.mark_unreachable(&target) {
                    emit!(self.ctx.log, warn, TargetUnreachable; "target" => %target, "why" => reason);
                }
            }
            Event::StartAnswered { target, task, run, answer } => {
                self.planner.start_answered(&target, &task, run, &answer, now);
            }
            Event::StopAnswered { target, task, run } => {
                self.planner.stop_answered(&target, &task, run, now);
            }
            Event::PaceAnswered { pace, answer } => self.planner.pace_answered(
                &pace.target,
                &pace.task,
                pace.run,
                pace.percent,
                answer,
                now,
            ),
            Event::PeerJoined(joined) => self.add_peer(joined),
            Event::FrameReceived(instance, frame) => self.handle_frame(&instance, frame, now),
            Event::PeerLeft(instance) => {
                for request in self.peers.remove(&instance) {
                    self.planner.advice_answered(&request.step, &request.targets, None, now);
                }
                self.planner.set_instances(self.peers.len(), now);
            }
            Event::AdviceTimedOut(number) => {
                if let Some(request) = self.peers.complete(number) {
                    emit!(self.ctx.log, warn, AdviceFailed; "job" => %request.step.job,
                        "step" => request.step.step, "why" => "no answer in time");
                    self.planner.advice_answered(&request.step, &request.targets, None, now);
                }
            }
            Event::ProgressRecorded { batch, duration } => {
                self.records_in_flight -= 1;
                self.planner.set_record_latency(duration);
                self.planner.batch_recorded(batch);
                for (name, session) in &self.sessions {
                    session.set_recorded_end(self.planner.recorded_end(name));
                }
            }
            Event::ProgressNotRecorded(batch) => {
                self.records_in_flight -= 1;
                self.last_record_at = now + RECORD_RETRY_BACKOFF;
                self.planner.batch_failed(batch, now);
            }
            Event::Fenced(reason) => return Some(EndReason::Lost(reason)),
        }
        self.successor.is_some().then_some(EndReason::HandedOver)
    }

    fn remove_expired(&mut self) {
        let expired = self.planner.take_expired_jobs(clock::now());
        if !expired.is_empty() {
            let (ctx, leadership) = (Arc::clone(&self.ctx), Arc::clone(&self.leadership));
            self.tasks.spawn(progress::remove_expired(ctx, leadership, expired));
        }
    }
}

/// Sends a frame to an instance if the instance still has a link.
pub(super) fn send_frame(sender: Option<mpsc::UnboundedSender<LeaderFrame>>, frame: LeaderFrame) {
    if let Some(sender) = sender {
        // A closed link is detected where its frames are received.
        let _ = sender.send(frame);
    }
}

async fn follow_config(ctx: Arc<Context>, events: mpsc::UnboundedSender<Event>) {
    let mut configs = ctx.configs.subscribe();
    while configs.changed().await.is_ok() {
        let config = Arc::clone(&configs.borrow_and_update());
        if events.send(Event::ConfigChanged(config)).is_err() {
            return;
        }
    }
}

async fn forward_joins(
    mut joins: mpsc::UnboundedReceiver<PeerLink>,
    events: mpsc::UnboundedSender<Event>,
) {
    while let Some(joined) = joins.recv().await {
        if events.send(Event::PeerJoined(joined)).is_err() {
            return;
        }
    }
}

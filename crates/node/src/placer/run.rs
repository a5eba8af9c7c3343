//! The loop of a placer.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{Name, clock, emit};
use plan::{Action, AdviceRequest, Listing, Planner};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant, MissedTickBehavior},
};

use crate::{
    context::Context,
    edge::Listed,
    lead::{Ending, Lead},
    link::{self, Down, Joined},
    metrics::Metrics,
    placer::{
        advice::Helpers,
        event::Event,
        follow, hold,
        hold::{Holder, Pace},
        holding::Names,
        order, read,
        read::Recorded,
        record,
    },
};

/// Time between rounds in which nothing happens.
const TICK: Duration = Duration::from_millis(25);

/// From the beginning of a round of decisions to the next, in times of what the
/// round takes; what is left is for orders and answers.
const PAUSE_FACTOR: u32 = 6;

/// Time between tellings of how the queues are.
const QUEUES_PERIOD: Duration = Duration::from_millis(700);

/// The same in a new term, so that fronts soon know which queues refuse.
const FIRST_QUEUES_PERIOD: Duration = Duration::from_millis(150);

/// Time between looks for jobs that ended long ago.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

/// Time between looks for targets that no run can be on any more.
const HELD_PERIOD: Duration = Duration::from_millis(500);

/// Least time between records, so that ends that come one after the other
/// share one.
const RECORD_PERIOD: Duration = Duration::from_millis(60);

/// Pause after a record that failed.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Records under way at a time; more than one, so that a slow key-value service
/// makes ends late by one answer only.
const MOST_RECORDING: u32 = 16;

/// Time for the read at the beginning of a term; another instance may do better.
const READ_TIME: Duration = Duration::from_secs(6);

/// Pause after a failed read at the beginning of a term.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for a node to make ready to lead.
const SUCCESSOR_TIME: Duration = Duration::from_millis(700);

/// A `Placer` is the one owner of a cell's account.
pub(super) struct Placer {
    pub(super) ctx: Arc<Context>,
    pub(super) lead: Arc<Lead>,
    pub(super) board: Planner,
    pub(super) lease: Duration,
    pub(super) holders: HashMap<Name, Arc<Holder>>,
    pub(super) pace: Arc<Pace>,
    pub(super) listed: Listed,
    /// Targets that are recorded as holding runs.
    pub(super) held: HashSet<Name>,
    /// The targets that are recorded as closed in this term.
    pub(super) closed: HashSet<Name>,
    /// Instances that are recorded to have joined.
    pub(super) recorded_instances: u32,
    pub(super) is_recording_held: bool,
    /// Whether the last record of those failed or is under way.
    pub(super) is_held_unrecorded: bool,
    /// Records under way.
    pub(super) recording: u32,
    pub(super) recorded_at: Duration,
    pub(super) helpers: Helpers,
    /// Requests for advice that no instance can take yet.
    pub(super) unasked: Vec<AdviceRequest>,
    /// When the next round of decisions may begin.
    pub(super) decide_at: Duration,
    /// When it began to look for a successor.
    pub(super) doubted_at: Option<Instant>,
    /// Whether all nodes were asked before the process ends.
    pub(super) has_asked_all: bool,
    /// The node that is ready to lead.
    pub(super) successor: Option<Name>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) tasks: JoinSet<()>,
}

/// Places the jobs of the cell until the lead is lost or the process ends;
/// gets why it ended.
pub(crate) async fn run(ctx: Arc<Context>, lead: Arc<Lead>) -> Ending {
    let began = clock::now();
    let recorded = loop {
        match read::read(&ctx).await {
            Ok(recorded) => break recorded,
            Err(error) => {
                emit!(ctx.log, warn, StoreFailed; "request" => "read of jobs", "error" => %error);
            }
        }
        if clock::now().saturating_sub(began) > READ_TIME {
            return Ending::Unfit;
        }
        time::sleep(RETRY_PAUSE).await;
    };
    let now = clock::now();
    emit!(ctx.log, info, JobsRead; "jobs" => recorded.jobs.len(),
        "cancelled" => recorded.cancelled.len(), "held" => recorded.held.len(),
        "ms" => now.saturating_sub(began).as_millis() as u64);
    Metrics::observe(&ctx.metrics.read_time, now.saturating_sub(began));
    ctx.metrics.takeovers.inc();
    let (sender, mut events) = mpsc::unbounded_channel();
    let mut placer = Placer::new(ctx, lead, recorded, sender, now);
    placer.serve(&mut events).await
}

impl Placer {
    fn new(
        ctx: Arc<Context>,
        lead: Arc<Lead>,
        recorded: Recorded,
        events: mpsc::UnboundedSender<Event>,
        now: Duration,
    ) -> Self {
        let hold_max = Duration::from_millis(ctx.settings.bounds.hold_max_ms);
        let defaults = plan::Settings::default();
        let settings = plan::Settings {
            max_keys_per_batch: record::ENTRIES,
            preemption: plan::Preemption {
                moves_per_task: ctx.settings.preemption.moves_per_task,
                slack: Duration::from_millis(ctx.settings.preemption.slack_ms),
                ..defaults.preemption
            },
            target_lease: defaults.target_lease.min(hold_max),
            ended_job_retention: Duration::from_secs_f64(
                ctx.settings.bounds.status_s.max(0.0) + 30.0,
            ),
            ..defaults
        };
        let lease = settings.target_lease;
        let expected_instances = recorded.closed.instances;
        lead.guard.begin(recorded.guard);
        let mut board = Planner::new(settings, lead.term as u32, recorded.held.clone(), now);
        board.configure(ctx.configs.current());
        board.expect_instances(expected_instances);
        for (id, spec, progress) in recorded.jobs {
            board.inherit(&id, spec, progress.as_ref(), now);
        }
        for (id, state) in recorded.ended {
            board.inherit_ended(&id, state, now);
        }
        // Those of an earlier term than the last one may have been opened since.
        let is_of_last = recorded.closed.term + 1 == lead.term;
        let closed = recorded.closed.closed.iter().filter(|_| is_of_last);
        for (target, runs) in lead.silent.iter().chain(closed) {
            board.adopt_unreachable(target, runs, now);
        }
        for id in recorded.cancelled {
            board.cancel(&id, now);
        }
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::follow_jobs(Arc::clone(&ctx), recorded.revision, events.clone()));
        tasks.spawn(follow::follow_targets(Arc::clone(&ctx), events.clone()));
        tasks.spawn(follow_config(Arc::clone(&ctx), events.clone()));
        let (joined, joins) = mpsc::unbounded_channel();
        tasks.spawn(link::accept_links(Arc::clone(&ctx), joined.clone()));
        tasks.spawn(forward_joins(joins, events.clone()));
        let mut placer = Self {
            ctx,
            lead,
            board,
            lease,
            holders: HashMap::new(),
            pace: Arc::default(),
            listed: Listed::new(),
            held: recorded.held,
            closed: HashSet::new(),
            recorded_instances: 0,
            is_recording_held: false,
            is_held_unrecorded: false,
            recording: 0,
            recorded_at: Duration::ZERO,
            helpers: Helpers::default(),
            unasked: Vec::new(),
            decide_at: Duration::ZERO,
            doubted_at: None,
            has_asked_all: false,
            successor: None,
            events,
            tasks,
        };
        placer.join_own_node();
        placer
    }

    /// Takes in what happens; gets why it ended.
    async fn serve(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) -> Ending {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let began = Instant::now();
        let mut queues_at = began;
        let mut expiry_at = Instant::now();
        let mut held_at = Instant::now();
        let ctx = Arc::clone(&self.ctx);
        loop {
            tokio::select! {
                event = events.recv() => {
                    let mut next = event;
                    while let Some(event) = next {
                        match self.take(event) {
                            None => {}
                            Some(Ending::HandedOver) => return self.hand_over(events).await,
                            Some(ending) => return ending,
                        }
                        next = events.try_recv().ok();
                    }
                }
                _ = tick.tick() => self.board.mark_changed(),
                () = ctx.stopped(), if self.doubted_at.is_none() => self.look_for_successor(),
            }
            let has_found_none = self.doubted_at.is_some_and(|at| at.elapsed() >= SUCCESSOR_TIME);
            if ctx.is_stopping() && has_found_none {
                if self.has_asked_all {
                    self.wind_down(events).await;
                    return Ending::Stopped;
                }
                self.has_asked_all = true;
            }
            let is_doubtful = self.lead.is_doubtful(clock::now());
            let has_cause = is_doubtful || ctx.is_stopping();
            if has_cause && (has_found_none || self.doubted_at.is_none()) {
                self.look_for_successor();
            } else if has_found_none {
                self.doubted_at = None;
            }
            self.step();
            let is_new = began.elapsed() < QUEUES_PERIOD;
            if queues_at.elapsed() >= if is_new { FIRST_QUEUES_PERIOD } else { QUEUES_PERIOD } {
                queues_at = Instant::now();
                self.tell_queues();
            }
            if expiry_at.elapsed() >= EXPIRY_PERIOD {
                expiry_at = Instant::now();
                self.forget_expired();
            }
            if held_at.elapsed() >= HELD_PERIOD {
                held_at = Instant::now();
                self.update_held();
                self.prefer_stronger();
            }
            while self.tasks.try_join_next().is_some() {}
        }
    }

    /// Decides, and does what follows.
    fn step(&mut self) {
        let now = clock::now();
        if self.lead.is_valid(now) && now >= self.decide_at {
            self.board.decide(now, clock::unix_ms());
            // Under load the rounds share what happens between them.
            let took = clock::now().saturating_sub(now);
            Metrics::observe(&self.ctx.metrics.round_time, took);
            self.decide_at = now + took * PAUSE_FACTOR;
        }
        for ask in std::mem::take(&mut self.unasked) {
            self.ask(ask);
        }
        for action in self.board.take_actions() {
            self.act(action);
        }
        let changes = self.board.take_state_changes(now);
        for (job, state) in changes.iter().filter(|(_, state)| state.is_final()) {
            emit!(self.ctx.log, info, JobEnded; "job" => %job, "state" => ?state,
                "term" => self.lead.term);
        }
        if !changes.is_empty() {
            self.helpers.tell(&Down::States(changes));
        }
        self.record(now);
    }

    fn record(&mut self, now: Duration) {
        if self.recording >= MOST_RECORDING || now.saturating_sub(self.recorded_at) < RECORD_PERIOD
        {
            return;
        }
        self.record_batches(now);
    }

    /// Has batches be recorded side by side, as many as may be.
    pub(super) fn record_batches(&mut self, now: Duration) {
        while self.recording < MOST_RECORDING
            && let Some(batch) = self.board.take_batch(now)
        {
            self.recording += 1;
            self.recorded_at = now;
            let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
            self.tasks.spawn(record::record(ctx, lead, batch, self.events.clone()));
        }
    }

    fn act(&mut self, action: Action) {
        let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
        let events = self.events.clone();
        match action {
            Action::Start(start) => {
                if let Some(holder) = self.holders.get(&start.target) {
                    let holder = Arc::clone(holder);
                    holder.want(clock::now());
                    self.tasks.spawn(order::start(ctx, lead, holder, start, self.lease, events));
                }
            }
            Action::Stop(stop) => {
                if let Some(holder) = self.holders.get(&stop.target) {
                    self.tasks.spawn(order::stop(ctx, lead, Arc::clone(holder), stop, events));
                }
            }
            Action::RequestAdvice(ask) => self.ask(ask),
            Action::Poll(target) => {
                if let Some(holder) = self.holders.get(&target) {
                    self.tasks.spawn(hold::look(ctx, lead, Arc::clone(holder), events));
                }
            }
        }
    }

    /// Takes in one event; gets how the placer has to end, if it has.
    pub(super) fn take(&mut self, event: Event) -> Option<Ending> {
        let now = clock::now();
        match event {
            Event::Accepted(id, spec) => self.board.accept(&id, *spec, now),
            Event::Cancelled(id) => self.board.cancel(&id, now),
            Event::Config(config) => self.board.configure(config),
            Event::Targets(listed) => {
                self.board.set_targets(listed.values().map(|(facts, _)| facts.clone()).collect());
                self.listed = listed;
                self.hold_targets();
            }
            Event::Held(held) => {
                self.is_recording_held = false;
                // What could not be recorded is tried again after a while.
                if let Some(Names { held, closed, instances }) = held {
                    self.recorded_instances = instances;
                    self.is_held_unrecorded = false;
                    self.held = held;
                    self.board.set_closed_targets(&closed);
                    self.closed = closed;
                    self.hold_targets();
                }
            }
            Event::Listed { target, asked, granted, listing } => {
                self.log_ends(&target, &listing);
                self.board.lease_granted(&target, granted);
                self.board.apply_listing(&target, asked, &listing, now);
                if let Some(holder) = self.holders.get(&target) {
                    holder.set_recorded_end(self.board.recorded_end(&target));
                }
            }
            Event::Silent { target, granted, why } => {
                self.board.lease_granted(&target, granted);
                if self.board.mark_unreachable(&target) {
                    emit!(self.ctx.log, warn, TargetLost; "target" => %target, "why" => why);
                }
            }
            Event::Started { target, task, run, answer } => {
                self.board.start_answered(&target, &task, run, &answer, now);
            }
            Event::Stopped { target, task, run } => {
                self.board.stop_answered(&target, &task, run, now);
            }
            Event::Joined(joined) => self.join(joined),
            Event::Up(instance, up) => self.hear(&instance, up, now),
            Event::Left(instance) => {
                for asked in self.helpers.leave(&instance) {
                    self.board.advice_answered(&asked.step, &asked.targets, None, now);
                }
                self.board.set_instances(self.helpers.len(), now);
            }
            Event::Unadvised(number) => {
                if let Some(asked) = self.helpers.answered(number) {
                    emit!(self.ctx.log, warn, AdviceFailed; "job" => %asked.step.job,
                        "step" => asked.step.step, "why" => "no answer in time");
                    self.board.advice_answered(&asked.step, &asked.targets, None, now);
                }
            }
            Event::Recorded { batch, took } => {
                self.recording -= 1;
                self.board.set_record_latency(took);
                self.board.batch_recorded(batch);
                for (name, holder) in &self.holders {
                    holder.set_recorded_end(self.board.recorded_end(name));
                }
            }
            Event::NotRecorded(batch) => {
                self.recording -= 1;
                self.recorded_at = now + RECORD_RETRY_PAUSE;
                self.board.batch_failed(batch, now);
            }
            Event::Fenced(why) => return Some(Ending::Lost(why)),
        }
        self.successor.is_some().then_some(Ending::HandedOver)
    }

    fn log_ends(&self, target: &Name, listing: &Listing) {
        let seen = self.board.last_end(target, listing.born_unix_ms);
        for end in listing.ended.iter().filter(|end| end.number > seen) {
            let step = &end.task.step;
            emit!(self.ctx.log, info, RunEnded; "job" => %step.job,
                "occurrence" => step.occurrence, "step" => step.step, "task" => end.task.index,
                "run" => end.run, "target" => %target, "end" => ?end.end,
                "number" => end.number);
        }
    }

    fn forget_expired(&mut self) {
        let expired = self.board.take_expired_jobs(clock::now());
        if !expired.is_empty() {
            let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
            self.tasks.spawn(record::forget(ctx, lead, expired));
        }
    }
}

/// Sends a frame to an instance if it still has a link.
pub(super) fn tell(down: Option<mpsc::UnboundedSender<Down>>, frame: Down) {
    if let Some(down) = down {
        // A closed link is noticed where its frames are received.
        let _ = down.send(frame);
    }
}

async fn follow_config(ctx: Arc<Context>, events: mpsc::UnboundedSender<Event>) {
    let mut configs = ctx.configs.subscribe();
    while configs.changed().await.is_ok() {
        let config = Arc::clone(&configs.borrow_and_update());
        if events.send(Event::Config(config)).is_err() {
            return;
        }
    }
}

async fn forward_joins(
    mut joins: mpsc::UnboundedReceiver<Joined>,
    events: mpsc::UnboundedSender<Event>,
) {
    while let Some(joined) = joins.recv().await {
        if events.send(Event::Joined(joined)).is_err() {
            return;
        }
    }
}

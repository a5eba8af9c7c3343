//! The loop of a placer.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::{Name, clock, emit};
use plan::{Action, Ask, Board, Listing};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant, MissedTickBehavior},
};

use crate::{
    context::Context,
    edge::{Listed, Target},
    helper,
    lead::{Ending, Lead},
    link::{self, Down, Joined, Succession, Up},
    metrics::Metrics,
    placer::{
        advice::Helpers, event::Event, follow, hold, hold::Holder, order, read, read::Recorded,
        record,
    },
    writes,
};

/// Time between rounds in which nothing happens.
const TICK: Duration = Duration::from_millis(25);

/// From the beginning of a round of decisions to the next, in times of what the
/// round takes; what is left is for orders and answers.
const PAUSE_FACTOR: u32 = 6;

/// Time between tellings of the numbers of jobs that wait.
const PENDING_PERIOD: Duration = Duration::from_millis(700);

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
const MOST_RECORDING: u32 = 6;

/// Time for the read at the beginning of a term; another instance may do better.
const READ_TIME: Duration = Duration::from_secs(6);

/// Pause after a failed read at the beginning of a term.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for a node to make ready to lead.
const SUCCESSOR_TIME: Duration = Duration::from_millis(700);

/// Time for the last frame to be sent.
const FAREWELL_TIME: Duration = Duration::from_millis(20);

/// Time for the last record when the process is to end.
const LAST_RECORD_TIME: Duration = Duration::from_millis(800);

/// A `Placer` is the one owner of a cell's account.
struct Placer {
    ctx: Arc<Context>,
    lead: Arc<Lead>,
    board: Board,
    lease: Duration,
    holders: HashMap<Name, Arc<Holder>>,
    listed: Listed,
    /// Targets that are recorded as holding runs.
    held: HashSet<Name>,
    is_recording_held: bool,
    /// Records under way.
    recording: u32,
    recorded_at: Duration,
    helpers: Helpers,
    /// Requests for advice that no instance can take yet.
    unasked: Vec<Ask>,
    /// When the next round of decisions may begin.
    decide_at: Duration,
    /// When it began to look for a successor.
    doubted_at: Option<Instant>,
    /// Whether all nodes were asked before the process ends.
    has_asked_all: bool,
    /// The node that is ready to lead.
    successor: Option<Name>,
    events: mpsc::UnboundedSender<Event>,
    tasks: JoinSet<()>,
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
            target_lease: defaults.target_lease.min(hold_max),
            keep_ended: Duration::from_secs_f64(ctx.settings.bounds.status_s.max(0.0) + 30.0),
            ..defaults
        };
        let lease = settings.target_lease;
        let mut board = Board::new(settings, lead.term as u32, recorded.held.clone(), now);
        board.configure(ctx.configs.current());
        for (id, spec, progress) in recorded.jobs {
            board.inherit(&id, spec, progress.as_ref(), now);
        }
        for (id, state) in recorded.ended {
            board.inherit_ended(&id, state, now);
        }
        for (target, runs) in &lead.silent {
            board.adopt_silent(target, runs, now);
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
            listed: Listed::new(),
            held: recorded.held,
            is_recording_held: false,
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

    /// Has this instance's own node serve as the others do.
    fn join_own_node(&mut self) {
        let (down, downs) = mpsc::unbounded_channel();
        let (up, ups) = mpsc::unbounded_channel();
        let instance = Name::from(self.ctx.settings.name.as_str());
        let ctx = Arc::clone(&self.ctx);
        self.tasks.spawn(async move {
            let _open = ctx.uplink.open(up.clone());
            helper::serve(&ctx, downs, up).await;
        });
        let strength_milli = self.ctx.settings.strength_milli();
        self.join(Joined { instance, strength_milli, down, up: ups });
    }

    /// Takes in what happens; gets why it ended.
    async fn serve(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) -> Ending {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pending_at = Instant::now();
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
                _ = tick.tick() => self.board.reconsider(),
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
            if pending_at.elapsed() >= PENDING_PERIOD {
                pending_at = Instant::now();
                self.helpers.tell(&Down::Pending(self.board.pending()));
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
        let changes = self.board.take_changes();
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
        if let Some(batch) = self.board.take_batch() {
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
                    self.tasks.spawn(order::start(ctx, lead, holder, start, self.lease, events));
                }
            }
            Action::Stop(stop) => {
                if let Some(holder) = self.holders.get(&stop.target) {
                    self.tasks.spawn(order::stop(ctx, lead, Arc::clone(holder), stop, events));
                }
            }
            Action::Ask(ask) => self.ask(ask),
            Action::Look(target) => {
                if let Some(holder) = self.holders.get(&target) {
                    self.tasks.spawn(hold::look(ctx, lead, Arc::clone(holder), events));
                }
            }
        }
    }

    fn ask(&mut self, ask: Ask) {
        match self.helpers.ask(ask) {
            Ok((number, timeout)) => {
                let events = self.events.clone();
                self.tasks.spawn(async move {
                    time::sleep(timeout).await;
                    let _ = events.send(Event::Unadvised(number));
                });
            }
            Err(ask) => self.unasked.push(ask),
        }
    }

    /// Takes in one event; gets how the placer has to end, if it has.
    fn take(&mut self, event: Event) -> Option<Ending> {
        let now = clock::now();
        match event {
            Event::Accepted(id, spec) => self.board.accept(&id, *spec, now),
            Event::Cancelled(id) => self.board.cancel(&id, now),
            Event::Config(config) => self.board.configure(config),
            Event::Targets(listed) => {
                self.board.list_targets(listed.values().map(|(facts, _)| facts.clone()).collect());
                self.listed = listed;
                self.hold_targets();
            }
            Event::Held(held) => {
                self.is_recording_held = false;
                // What could not be recorded is tried again after a while.
                if let Some(held) = held {
                    self.held = held.into_iter().collect();
                    self.hold_targets();
                }
            }
            Event::Listed { target, asked, granted, listing } => {
                self.log_ends(&target, &listing);
                self.board.granted(&target, granted);
                self.board.listed(&target, asked, &listing, now);
            }
            Event::Silent { target, granted, why } => {
                self.board.granted(&target, granted);
                if self.board.silent(&target) {
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
                    self.board.advised(&asked.step, &asked.targets, None, now);
                }
                self.board.set_advisors(self.helpers.len());
            }
            Event::Unadvised(number) => {
                if let Some(asked) = self.helpers.answered(number) {
                    emit!(self.ctx.log, warn, AdviceFailed; "job" => %asked.step.job,
                        "step" => asked.step.step, "why" => "no answer in time");
                    self.board.advised(&asked.step, &asked.targets, None, now);
                }
            }
            Event::Recorded(batch) => {
                self.recording -= 1;
                self.board.recorded(batch);
                for (name, holder) in &self.holders {
                    holder.set_recorded_end(self.board.recorded_end(name));
                }
            }
            Event::NotRecorded(batch) => {
                self.recording -= 1;
                self.recorded_at = now + RECORD_RETRY_PAUSE;
                self.board.not_recorded(batch);
            }
            Event::Fenced(why) => return Some(Ending::Lost(why)),
        }
        self.successor.is_some().then_some(Ending::HandedOver)
    }

    fn log_ends(&self, target: &Name, listing: &Listing) {
        let seen = self.board.seen_end(target, listing.born_unix_ms);
        for end in listing.ended.iter().filter(|end| end.number > seen) {
            let step = &end.task.step;
            emit!(self.ctx.log, info, RunEnded; "job" => %step.job,
                "occurrence" => step.occurrence, "step" => step.step, "task" => end.task.index,
                "run" => end.run, "target" => %target, "end" => ?end.end,
                "number" => end.number);
        }
    }

    fn hear(&mut self, instance: &Name, up: Up, now: Duration) {
        match up {
            Up::Hello { .. } | Up::Pulse => {}
            Up::CanLead => {
                if self.doubted_at.is_some() && **instance != *self.ctx.settings.name {
                    self.successor = Some(instance.clone());
                }
            }
            Up::Accepted(id, spec) => self.board.accept(&id, *spec, now),
            Up::Cancelled(id) => self.board.cancel(&id, now),
            Up::Submit { number, id, spec } => {
                let (ctx, down) = (Arc::clone(&self.ctx), self.helpers.down(instance));
                let events = self.events.clone();
                self.tasks.spawn(async move {
                    let outcome = writes::submit_here(&ctx, &id, &spec).await;
                    if outcome.is_ok() {
                        let _ = events.send(Event::Accepted(id, spec));
                    }
                    tell(down, Down::Written { number, outcome });
                });
            }
            Up::Cancel { number, id } => {
                let (ctx, down) = (Arc::clone(&self.ctx), self.helpers.down(instance));
                let events = self.events.clone();
                self.tasks.spawn(async move {
                    let outcome = writes::cancel_here(&ctx, &id).await;
                    if outcome.is_ok() {
                        let _ = events.send(Event::Cancelled(id));
                    }
                    tell(down, Down::Written { number, outcome });
                });
            }
            Up::Advised { number, allowed, valid_ms } => {
                self.take_advice(instance, number, allowed, valid_ms, now);
            }
        }
    }

    fn take_advice(
        &mut self,
        instance: &Name,
        number: u64,
        allowed: Result<Vec<(Name, Name)>, String>,
        valid_ms: Option<u64>,
        now: Duration,
    ) {
        let Some(asked) = self.helpers.answered(number) else {
            return;
        };
        let allowed = match allowed {
            Ok(allowed) => allowed,
            Err(why) => {
                Metrics::count(&self.ctx.metrics.advice, "step", "failed");
                emit!(self.ctx.log, warn, AdviceFailed; "job" => %asked.step.job,
                    "step" => asked.step.step, "by" => %instance, "why" => why);
                return self.board.advised(&asked.step, &asked.targets, None, now);
            }
        };
        Metrics::count(&self.ctx.metrics.advice, "step", "given");
        emit!(self.ctx.log, info, AdviceAsked; "job" => %asked.step.job,
            "step" => asked.step.step, "asked" => asked.targets.len(),
            "allowed" => allowed.len(), "by" => %instance);
        let valid = Duration::from_millis(valid_ms.unwrap_or(0));
        self.board.advised(&asked.step, &asked.targets, Some(allowed), now + valid);
    }

    fn join(&mut self, joined: Joined) {
        let Joined { instance, strength_milli, down, mut up } = joined;
        // A closed link is noticed where its frames are received.
        let _ = down.send(Down::States(self.board.states()));
        let _ = down.send(Down::Pending(self.board.pending()));
        self.helpers.join(instance.clone(), strength_milli, down);
        self.board.set_advisors(self.helpers.len());
        let events = self.events.clone();
        self.tasks.spawn(async move {
            while let Some(frame) = up.recv().await {
                if events.send(Event::Up(instance.clone(), frame)).is_err() {
                    return;
                }
            }
            let _ = events.send(Event::Left(instance));
        });
    }

    /// Begins to hold the targets that are listed, once it is recorded that
    /// runs may be on them.
    fn hold_targets(&mut self) {
        let is_new = |name: &&Name| !self.held.contains(*name);
        if self.listed.keys().any(|name| is_new(&name)) {
            self.record_held();
        }
        for (name, (_, address)) in &self.listed {
            let is_known = self.holders.get(name).is_some_and(|h| h.target.address == *address);
            if is_known || !self.held.contains(name) {
                continue;
            }
            emit!(self.ctx.log, info, TargetListed; "target" => %name, "address" => %address);
            let target = Target { id: name.clone(), address: address.clone() };
            let holder = Arc::new(Holder::new(target));
            if let Some(earlier) = self.holders.insert(name.clone(), Arc::clone(&holder)) {
                earlier.end();
            }
            let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
            let events = self.events.clone();
            self.tasks.spawn(hold::hold(ctx, lead, holder, self.lease, events));
        }
    }

    /// Records anew which targets runs may be on, if that has changed: the next
    /// placer is not to wait for targets that are gone for certain.
    fn update_held(&mut self) {
        let held = self.board.held_targets(clock::now());
        let is_missing = self.listed.keys().any(|name| !self.held.contains(name));
        if is_missing || self.held.iter().any(|name| !held.contains(name)) {
            self.record_held();
        }
    }

    fn record_held(&mut self) {
        if self.is_recording_held {
            return;
        }
        self.is_recording_held = true;
        let held = self.board.held_targets(clock::now());
        // From here on those that are left out get no work, also if they are
        // listed again, until they are recorded again.
        self.held.retain(|name| held.contains(name));
        let board = &mut self.board;
        self.holders.retain(|name, holder| {
            let is_kept = held.contains(name);
            if !is_kept {
                holder.end();
                board.silent(name);
            }
            is_kept
        });
        let held = held.into_iter().collect();
        let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
        self.tasks.spawn(record::record_held(ctx, lead, held, self.events.clone()));
    }

    fn forget_expired(&mut self) {
        let expired = self.board.take_expired(clock::now());
        if !expired.is_empty() {
            let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
            self.tasks.spawn(record::forget(ctx, lead, expired));
        }
    }

    /// Asks the nodes which of them can lead: first the strong ones, then all.
    fn look_for_successor(&mut self) {
        let is_first = self.doubted_at.replace(Instant::now()).is_none();
        if !is_first {
            return self.helpers.tell(&Down::Doubt);
        }
        for instance in self.helpers.strong(&self.ctx.settings.name) {
            tell(self.helpers.down(&instance), Down::Doubt);
        }
    }

    /// Hands over to a node that is much stronger, if there is one.
    fn prefer_stronger(&mut self) {
        let own = self.ctx.settings.strength_milli();
        let stronger = self.helpers.much_stronger(own).cloned();
        if let Some(stronger) = stronger.filter(|_| self.doubted_at.is_none()) {
            self.doubted_at = Some(Instant::now());
            tell(self.helpers.down(&stronger), Down::Doubt);
        }
    }

    /// Stops, and has the successor take the lead.
    async fn hand_over(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) -> Ending {
        let down = self.successor.take().and_then(|successor| self.helpers.down(&successor));
        if !self.lead.is_doubtful(clock::now()) {
            self.wind_down(events).await;
        }
        self.lead.end();
        let silent = self.board.silent_targets();
        tell(down, Down::Succeed(Succession { revision: self.lead.revision.0, silent }));
        // The frame is sent before the links are closed.
        time::sleep(FAREWELL_TIME).await;
        Ending::HandedOver
    }

    /// Records what isn't yet, before another instance takes over.
    async fn wind_down(&mut self, events: &mut mpsc::UnboundedReceiver<Event>) {
        let finish = async {
            while self.recording > 0 {
                match events.recv().await {
                    Some(event) => {
                        self.take(event);
                    }
                    None => return,
                }
            }
            if let Some(batch) = self.board.take_batch() {
                let (ctx, lead) = (Arc::clone(&self.ctx), Arc::clone(&self.lead));
                record::record(ctx, lead, batch, self.events.clone()).await;
            }
        };
        // What can't be recorded in time is listed by the targets again.
        let _ = time::timeout(LAST_RECORD_TIME, finish).await;
    }
}

/// Sends a frame to an instance if it still has a link.
fn tell(down: Option<mpsc::UnboundedSender<Down>>, frame: Down) {
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

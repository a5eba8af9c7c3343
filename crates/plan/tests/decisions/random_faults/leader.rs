//! Leader that drives the planner as `node::placer` does.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use base::Name;
use plan::{
    Action, AdviceRequest, Availability, Batch, ClosedTarget, Holding, Planner, ProcessRecord,
    Record, Settings, StartAnswer, TargetInfo,
};
use work::{Config, Spec, TaskKey};

use super::{
    message::{Call, Reply},
    session::Session,
    store::{Content, Outcome, Snapshot, Store, Write},
};

pub const LEASE: Duration = Duration::from_secs(6);
pub const TICK: Duration = Duration::from_millis(25);
const HELD_INTERVAL: Duration = Duration::from_millis(500);
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(60);
const RECORD_RETRY_BACKOFF: Duration = Duration::from_millis(200);
const MAX_RECORDS_IN_FLIGHT: usize = 16;
const FINAL_RECORD_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a write waits for the renewal of the guard.
const GUARD_BACKOFF: Duration = Duration::from_millis(50);
const MAX_KEYS_PER_BATCH: usize = 29;

/// Event of a leader.
#[derive(Clone)]
pub enum Event {
    Tick,
    CheckHeld,
    Renew(u64),
    Replied(u64, Reply),
    TimedOut(u64),
    StartAnswered {
        target: Name,
        task: TaskKey,
        run: u32,
        answer: StartAnswer,
    },
    TargetsChanged(Vec<TargetInfo>),
    TargetsConfirmed(Duration),
    Accepted(Name, Spec),
    Cancelled(Name),
    Advised {
        request: AdviceRequest,
        allowed: Vec<(Name, Name)>,
        expires_at: Duration,
    },
    Written(u64, Outcome),
    /// A successor is ready.
    HandOver,
}

/// What a leader sends, and the events that it expects.
pub enum Effect {
    Send {
        call: Call,
        timeout: Duration,
    },
    After(Duration, Event),
    Write(Write),
    Advise(AdviceRequest),
    /// The term has ended, with what a successor is told.
    End(Option<Handover>),
}

/// What a leader tells its successor.
#[derive(Clone, Debug, Default)]
pub struct Handover {
    pub unreachable: Vec<ClosedTarget>,
    pub processes: ProcessRecord,
    pub holdings: Vec<Holding>,
    pub known_jobs: Vec<Name>,
}

impl Handover {
    /// Returns whether nothing was handed over.
    pub fn is_none_known(&self) -> bool {
        self.holdings.is_empty()
    }
}

/// Purpose of a call.
pub(super) enum Purpose {
    Start { task: TaskKey, run: u32, until_ms: u64 },
    Stop { task: TaskKey, run: u32 },
    Renewal { requested_at: Duration, recorded_end: u64, has_grant: bool },
    Poll { requested_at: Duration, is_first: bool },
}

/// Call without an answer.
pub(super) struct Pending {
    pub(super) session: u64,
    pub(super) fence: u64,
    pub(super) purpose: Purpose,
}

/// Write without an answer.
enum Unwritten {
    Batch(Batch),
    Snapshot(Box<Snapshot>),
}

/// Whether the revision of the guard rules out late writes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Validity {
    Valid,
    Doubtful,
    /// This write renews the guard.
    Renewing(u64),
}

/// Leader of one term.
pub struct Leader {
    pub term: u32,
    pub planner: Planner,
    /// Whether orders may be sent.
    pub is_valid: bool,
    /// Time until which the process does nothing.
    pub paused_until: Duration,
    pub(super) sessions: BTreeMap<Name, u64>,
    /// All sessions, with those that have ended.
    pub(super) all_sessions: BTreeMap<u64, Session>,
    pub(super) next_fence: u64,
    pub(super) pending: BTreeMap<u64, Pending>,
    pub(super) next_number: u64,
    pub(super) effects: Vec<Effect>,
    listed: BTreeMap<Name, TargetInfo>,
    held: HashSet<Name>,
    closed: HashSet<Name>,
    restarted: HashSet<Name>,
    is_recording_held: bool,
    is_held_unrecorded: bool,
    /// Writes in flight, each with the expected revision of the guard.
    writes: BTreeMap<u64, (u64, Unwritten)>,
    last_record_at: Duration,
    guard: (u64, Validity),
    /// Time at which the handover begins at the latest.
    handover_at: Option<Duration>,
    has_flush_failed: bool,
}

impl Leader {
    /// Reads the stored state at the beginning of a term.
    pub fn new(store: &Store, config: Arc<Config>, handover: Handover, now: Duration) -> Self {
        let term = store.term;
        let Snapshot { held, closed, mut processes } = store.snapshot.clone();
        processes.restarted.extend(handover.processes.restarted);
        processes.unconfirmed.extend(handover.processes.unconfirmed);
        let settings = Settings { max_keys_per_batch: MAX_KEYS_PER_BATCH, ..Settings::default() };
        let mut planner = Planner::new(settings, term, held.clone(), now);
        planner.configure(config);
        planner.inherit_processes(processes, now);
        planner.inherit_known_jobs(handover.known_jobs);
        planner.inherit_holdings(handover.holdings, now);
        for (id, spec) in &store.jobs {
            planner.inherit(id, spec.clone(), store.progress.get(id), now);
        }
        for (id, state) in store.ended() {
            planner.inherit_ended(id, state, now);
        }
        for (target, runs) in handover.unreachable.iter().chain(&closed) {
            planner.adopt_unreachable(target, runs, now);
        }
        let closed: HashSet<Name> = closed.into_iter().map(|(target, _)| target).collect();
        planner.set_closed_targets(&closed);
        for id in &store.cancelled {
            planner.cancel(id, now);
        }
        planner.set_instances(3, now);
        let mut leader = Self {
            term,
            planner,
            is_valid: true,
            paused_until: Duration::ZERO,
            sessions: BTreeMap::new(),
            all_sessions: BTreeMap::new(),
            next_fence: u64::from(term) << 24,
            pending: BTreeMap::new(),
            next_number: u64::from(term) << 32,
            effects: Vec::new(),
            listed: BTreeMap::new(),
            held,
            closed,
            restarted: HashSet::new(),
            is_recording_held: false,
            is_held_unrecorded: false,
            writes: BTreeMap::new(),
            last_record_at: Duration::ZERO,
            guard: (store.guard, Validity::Valid),
            handover_at: None,
            has_flush_failed: false,
        };
        leader.expect(Duration::ZERO, Event::Tick);
        leader.expect(Duration::ZERO, Event::CheckHeld);
        leader
    }

    /// Returns whether the leader starts nothing because it hands over.
    pub fn is_handing_over(&self) -> bool {
        self.handover_at.is_some()
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(super) fn expect(&mut self, after: Duration, event: Event) {
        self.effects.push(Effect::After(after, event));
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(super) fn next_fence(&mut self) -> u64 {
        self.next_fence += 1;
        self.next_fence - 1
    }

    /// Processes an event, and runs a round.
    pub fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Tick => {
                self.planner.mark_changed();
                self.expect(TICK, Event::Tick);
            }
            Event::CheckHeld => {
                if self.handover_at.is_none() {
                    self.update_held(now);
                }
                self.expect(HELD_INTERVAL, Event::CheckHeld);
            }
            Event::Renew(session) => self.renew(session, now),
            Event::Replied(call, reply) => self.replied(call, Some(reply), now),
            Event::TimedOut(call) => self.replied(call, None, now),
            Event::StartAnswered { target, task, run, answer } => {
                self.planner.start_answered(&target, &task, run, &answer, now);
            }
            Event::TargetsChanged(listed) => {
                self.planner.set_targets(listed.clone(), now);
                for target in self.planner.take_suspected_restarts() {
                    if let Some(&session) = self.sessions.get(&target) {
                        self.forget_process(session, self.fence(session));
                    }
                }
                self.record_restarts(now);
                self.listed = listed.into_iter().map(|info| (info.id.clone(), info)).collect();
                self.start_sessions(now);
            }
            Event::TargetsConfirmed(at) => self.planner.targets_confirmed(at),
            Event::Accepted(id, spec) => self.planner.accept(&id, spec, now),
            Event::Cancelled(id) => self.planner.cancel(&id, now),
            Event::Advised { request, allowed, expires_at } => {
                let allowed = Some(allowed);
                self.planner.advice_answered(&request.step, &request.targets, allowed, expires_at);
            }
            Event::Written(number, outcome) => self.written(number, outcome, now),
            Event::HandOver => {
                if self.handover_at.is_none() {
                    self.handover_at = Some(now + FINAL_RECORD_TIMEOUT);
                    self.planner.set_record_latency(Duration::ZERO);
                    self.record_batches(now);
                }
            }
        }
        match self.handover_at {
            None => self.run_round(now),
            Some(at) => self.flush(at, now),
        }
    }

    fn run_round(&mut self, now: Duration) {
        if self.is_valid {
            self.planner.decide(now, unix_ms(now));
        }
        if self.planner.awaits_opening(now) {
            self.record_held(now);
        }
        for action in self.planner.take_actions() {
            self.execute(action, now);
        }
        self.planner.take_released_runs();
        self.planner.take_reappeared_runs();
        self.planner.take_suspected_restarts();
        self.planner.take_crashes();
        self.planner.take_blames();
        self.planner.take_state_changes(now);
        if now >= self.last_record_at + MIN_RECORD_INTERVAL {
            self.record_batches(now);
        }
    }

    fn execute(&mut self, action: Action, now: Duration) {
        match action {
            Action::Start(start) => self.start(start, now),
            Action::Stop(stop) => self.stop(stop),
            // The random jobs have no backfill.
            Action::Pace(_) => {}
            Action::RequestAdvice(request) => self.effects.push(Effect::Advise(request)),
            Action::Poll(target) => {
                if let Some(session) = self.sessions.get(&target) {
                    self.poll(*session, true, now);
                }
            }
        }
    }

    /// Writes what is unrecorded, then ends the term.
    fn flush(&mut self, at: Duration, now: Duration) {
        let has_writes =
            self.writes.values().any(|(_, write)| matches!(write, Unwritten::Batch(_)));
        if has_writes && now < at {
            if !self.has_flush_failed {
                self.planner.set_record_latency(Duration::ZERO);
                self.record_batches(now);
            }
            return;
        }
        self.is_valid = false;
        let unreachable = self.planner.unreachable_targets(now);
        let processes = self.planner.processes(&HashSet::new(), now);
        let holdings = self.planner.holdings(now);
        let known_jobs = self.planner.known_jobs(&holdings);
        let handover = Handover { unreachable, processes, holdings, known_jobs };
        self.effects.push(Effect::End(Some(handover)));
    }

    fn record_batches(&mut self, now: Duration) {
        while self.writes.len() < MAX_RECORDS_IN_FLIGHT
            && let Some(batch) = self.planner.take_batch(now)
        {
            self.last_record_at = now;
            let records: Vec<Record> = batch.records.clone();
            self.write(Content::Progress(records), Unwritten::Batch(batch));
        }
    }

    fn write(&mut self, content: Content, unwritten: Unwritten) {
        let number = self.number();
        let (guard, validity) = self.guard;
        self.writes.insert(number, (guard, unwritten));
        match validity {
            Validity::Valid => {}
            Validity::Doubtful => self.guard.1 = Validity::Renewing(number),
            Validity::Renewing(_) => {
                return self.expect(GUARD_BACKOFF, Event::Written(number, Outcome::NotRun));
            }
        }
        let is_renewal = validity == Validity::Doubtful;
        let write = Write { number, term: self.term, guard, is_renewal, content };
        self.effects.push(Effect::Write(write));
    }

    fn written(&mut self, number: u64, outcome: Outcome, now: Duration) {
        let Some((used, _)) = self.writes.get(&number) else {
            return;
        };
        let is_renewal = self.guard.1 == Validity::Renewing(number);
        let is_last = *used == self.guard.0 && self.guard.1 == Validity::Valid;
        match outcome {
            Outcome::Done => {
                if is_renewal {
                    self.guard = (number, Validity::Valid);
                }
                return self.write_succeeded(number, now);
            }
            Outcome::Lost => return self.effects.push(Effect::End(None)),
            Outcome::Unknown { last_renewal } if is_renewal && last_renewal == number => {
                self.guard = (number, Validity::Valid);
                return self.write_succeeded(number, now);
            }
            Outcome::Conflict(guard) if is_renewal || is_last => {
                self.guard = (guard, Validity::Doubtful);
            }
            Outcome::NotRun if is_renewal => self.guard.1 = Validity::Doubtful,
            Outcome::Unknown { .. } if is_renewal || is_last => self.guard.1 = Validity::Doubtful,
            Outcome::Conflict(_) | Outcome::NotRun | Outcome::Unknown { .. } => {}
        }
        self.write_failed(number, now);
    }

    fn write_succeeded(&mut self, number: u64, now: Duration) {
        match self.writes.remove(&number).map(|(_, write)| write) {
            Some(Unwritten::Batch(batch)) => {
                self.planner.batch_recorded(batch);
                for (name, session) in &self.sessions {
                    let end = self.planner.recorded_end(name);
                    if let Some(session) = self.all_sessions.get_mut(session) {
                        session.set_recorded_end(end);
                    }
                }
            }
            Some(Unwritten::Snapshot(snapshot)) => {
                let Snapshot { held, closed, processes } = *snapshot;
                self.is_recording_held = false;
                self.is_held_unrecorded = false;
                self.held = held;
                self.closed = closed.into_iter().map(|(name, _)| name).collect();
                self.planner.set_closed_targets(&self.closed);
                self.planner.set_recorded_restarts(&processes.restarted);
                self.restarted = processes.restarted;
                self.start_sessions(now);
                self.record_restarts(now);
            }
            None => {}
        }
    }

    fn write_failed(&mut self, number: u64, now: Duration) {
        match self.writes.remove(&number).map(|(_, write)| write) {
            Some(Unwritten::Batch(batch)) => {
                self.last_record_at = now + RECORD_RETRY_BACKOFF;
                self.has_flush_failed |= self.handover_at.is_some();
                self.planner.batch_failed(batch, now);
            }
            Some(Unwritten::Snapshot(_)) => self.is_recording_held = false,
            None => {}
        }
    }

    fn start_sessions(&mut self, now: Duration) {
        if self.listed.keys().any(|name| !self.held.contains(name)) {
            self.record_held(now);
        }
        self.planner.set_idle_poll_interval(Duration::from_secs(1));
        let listed: Vec<Name> = self.listed.keys().cloned().collect();
        for name in listed {
            if self.sessions.contains_key(&name) || !self.held.contains(&name) {
                continue;
            }
            let fence = self.next_fence();
            let number = self.number();
            self.all_sessions.insert(number, Session::new(name.clone(), fence));
            self.sessions.insert(name, number);
            self.expect(Duration::ZERO, Event::Renew(number));
        }
    }

    fn update_held(&mut self, now: Duration) {
        self.planner.count_unreachable();
        let held = self.planner.held_targets(now);
        let is_restart_record_outdated = self.planner.has_unrecorded_restarts(now)
            || !self.restarted.is_empty() && !self.planner.has_restarts(now);
        if self.listed.keys().any(|name| !self.held.contains(name))
            || self.is_held_unrecorded
            || self.held.iter().any(|name| !held.contains(name))
            || self.planner.is_closed_record_outdated(&held, &self.closed, now)
            || is_restart_record_outdated
        {
            self.record_held(now);
        }
    }

    pub(super) fn record_restarts(&mut self, now: Duration) {
        if self.planner.has_unrecorded_restarts(now) {
            self.record_held(now);
        }
    }

    fn record_held(&mut self, now: Duration) {
        if self.is_recording_held {
            return;
        }
        self.is_recording_held = true;
        self.is_held_unrecorded = true;
        let held = self.planner.held_targets(now);
        self.held.retain(|name| held.contains(name));
        let (planner, all_sessions) = (&mut self.planner, &mut self.all_sessions);
        self.sessions.retain(|name, session| {
            let is_kept = held.contains(name);
            if !is_kept {
                if let Some(session) = all_sessions.get_mut(session) {
                    session.has_ended = true;
                }
                planner.mark_unreachable(name);
            }
            is_kept
        });
        let closed = self.planner.close_targets(&held, now);
        let processes = self.planner.processes(&held, now);
        let snapshot = Box::new(Snapshot { held, closed, processes });
        self.write(Content::Snapshot(snapshot.clone()), Unwritten::Snapshot(snapshot));
    }
}

/// Returns the wall clock time at `now`, in milliseconds since 1970.
pub fn unix_ms(now: Duration) -> u64 {
    1_000_000_000 + now.as_millis() as u64
}

/// Returns the description of a target.
pub fn target_info(name: &Name, availability: Availability, born_unix_ms: u64) -> TargetInfo {
    TargetInfo {
        id: name.clone(),
        service: Name::from(super::workload::SERVICE),
        capacity: super::workload::capacity(),
        availability,
        born_unix_ms,
        ..TargetInfo::default()
    }
}

//! Ownership of a region: two placers, two workers, one task.
//!
//! The first placer may be paused at any step while the second takes over. The
//! task must never run in two places, and at most once if it is not idempotent.

use std::collections::BTreeSet;

use crate::Model;

/// Attempts at the task that are searched.
const MAX_ATTEMPTS: u8 = 3;

/// Workers and placers.
const PARTY_COUNT: usize = 2;

/// A `Guards` says which guards of the protocol are in place.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A write of the ledger fails once a later placer has taken it.
    pub fences_ledger: bool,
    /// An attempt is recorded before it is sent.
    pub records_before_start: bool,
    /// A worker refuses terms lower than one it has seen.
    pub fences_worker: bool,
    /// An attempt on a silent worker counts as running until its lease lapses.
    pub awaits_lapse: bool,
    /// A start is valid for less time than it takes to be sure of a lapse.
    pub expires_starts: bool,
    /// A worker keeps ended attempts until their ends are recorded.
    pub keeps_ends: bool,
}

impl Guards {
    /// All guards in place.
    pub const ALL: Self = Self {
        fences_ledger: true,
        records_before_start: true,
        fences_worker: true,
        awaits_lapse: true,
        expires_starts: true,
        keeps_ends: true,
    };
}

/// An `Ownership` is the model.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// The guards in place.
    pub guards: Guards,
    /// Whether the task may run again.
    pub idempotent: bool,
}

/// What the ledger says of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Record {
    /// It waits; the number of its last attempt.
    Pending(u8),
    /// An attempt has a worker.
    Assigned(u8, usize),
    /// It is over.
    Ended,
}

/// A `Placer` is what one placer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Placer {
    /// The revision of the ledger that it expects; `None` before it takes it.
    revision: Option<u8>,
    record: Record,
    /// Workers that it has claimed.
    claimed: [bool; PARTY_COUNT],
    is_superseded: bool,
}

/// A `Worker` is the state of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Worker {
    term: u8,
    is_leased: bool,
    running: Option<u8>,
    ended: Option<u8>,
    /// The attempt that a lapse of the lease ended.
    lost: Option<u8>,
    has_lapsed: bool,
}

/// A `State` is the state of all parties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    ledger: (u8, u8, Record),
    placers: [Placer; PARTY_COUNT],
    workers: [Worker; PARTY_COUNT],
    /// Starts under way: term, worker, attempt.
    starts: BTreeSet<(u8, usize, u8)>,
    run_count: u8,
}

impl Model for Ownership {
    type State = State;

    fn initial_state(&self) -> State {
        let placer = Placer {
            revision: None,
            record: Record::Pending(0),
            claimed: [false; PARTY_COUNT],
            is_superseded: false,
        };
        let worker = Worker {
            term: 0,
            is_leased: false,
            running: None,
            ended: None,
            lost: None,
            has_lapsed: false,
        };
        State {
            ledger: (0, 0, Record::Pending(0)),
            placers: [placer; PARTY_COUNT],
            workers: [worker; PARTY_COUNT],
            starts: BTreeSet::new(),
            run_count: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for placer in 0..PARTY_COUNT {
            self.acquire_ledger(state, placer, &mut next);
            for worker in 0..PARTY_COUNT {
                self.claim(state, placer, worker, &mut next);
                self.assign(state, placer, worker, &mut next);
            }
            self.settle(state, placer, &mut next);
        }
        self.deliver(state, &mut next);
        self.end_attempts(state, &mut next);
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let running = state.workers.iter().filter(|worker| worker.running.is_some()).count();
        if running > 1 {
            return Some("the task runs in two places");
        }
        (!self.idempotent && state.run_count > 1).then_some("the task ran twice")
    }
}

fn term(placer: usize) -> u8 {
    placer as u8 + 1
}

impl Ownership {
    fn acquire_ledger(&self, state: &State, placer: usize, next: &mut Vec<State>) {
        let (ledger_term, revision, record) = state.ledger;
        if state.placers[placer].revision.is_none() && ledger_term < term(placer) {
            let mut acquired = state.clone();
            acquired.ledger = (term(placer), revision + 1, record);
            acquired.placers[placer].revision = Some(revision + 1);
            acquired.placers[placer].record = record;
            next.push(acquired);
        }
    }

    /// Claims a worker and takes in what it reports.
    fn claim(&self, state: &State, placer: usize, worker: usize, next: &mut Vec<State>) {
        let placer_state = &state.placers[placer];
        let worker_state = &state.workers[worker];
        if placer_state.revision.is_none()
            || placer_state.is_superseded
            || worker_state.term > term(placer)
        {
            return;
        }
        let mut claimed = state.clone();
        claimed.workers[worker].term = term(placer);
        claimed.workers[worker].is_leased = true;
        claimed.workers[worker].has_lapsed = false;
        claimed.placers[placer].claimed[worker] = true;
        if let Record::Assigned(attempt, assigned_worker) = placer_state.record
            && assigned_worker == worker
            && worker_state.running != Some(attempt)
        {
            if worker_state.ended == Some(attempt) {
                self.write(&mut claimed, placer, Record::Ended);
            } else if worker_state.lost == Some(attempt) {
                self.abandon_attempt(&mut claimed, placer, attempt);
            } else if !state.starts.contains(&(term(placer), worker, attempt)) {
                // Its own start is not under way, and others are refused: it
                // never ran.
                self.write(&mut claimed, placer, Record::Pending(attempt));
            }
        }
        next.push(claimed);
    }

    /// Gives the task a worker that the placer has claimed.
    fn assign(&self, state: &State, placer: usize, worker: usize, next: &mut Vec<State>) {
        let placer_state = &state.placers[placer];
        let Record::Pending(last) = placer_state.record else {
            return;
        };
        if !placer_state.claimed[worker] || placer_state.is_superseded || last >= MAX_ATTEMPTS {
            return;
        }
        let attempt = last + 1;
        let mut assigned = state.clone();
        if self.guards.records_before_start {
            if !self.write(&mut assigned, placer, Record::Assigned(attempt, worker)) {
                next.push(assigned);
                return;
            }
        } else {
            assigned.placers[placer].record = Record::Assigned(attempt, worker);
        }
        assigned.starts.insert((term(placer), worker, attempt));
        next.push(assigned);
    }

    /// Settles an attempt on a worker whose lease has lapsed.
    fn settle(&self, state: &State, placer: usize, next: &mut Vec<State>) {
        let placer_state = &state.placers[placer];
        let Record::Assigned(attempt, worker) = placer_state.record else {
            return;
        };
        let can_settle = state.workers[worker].has_lapsed || !self.guards.awaits_lapse;
        if placer_state.is_superseded || !can_settle {
            return;
        }
        let mut settled = state.clone();
        self.abandon_attempt(&mut settled, placer, attempt);
        next.push(settled);
    }

    fn abandon_attempt(&self, state: &mut State, placer: usize, attempt: u8) {
        let record = if self.idempotent { Record::Pending(attempt) } else { Record::Ended };
        self.write(state, placer, record);
    }

    /// Writes the ledger; `false` if the placer is over.
    fn write(&self, state: &mut State, placer: usize, record: Record) -> bool {
        let (ledger_term, revision, _) = state.ledger;
        if self.guards.fences_ledger && state.placers[placer].revision != Some(revision) {
            state.placers[placer].is_superseded = true;
            return false;
        }
        state.ledger = (ledger_term, revision + 1, record);
        state.placers[placer].revision = Some(revision + 1);
        state.placers[placer].record = record;
        true
    }

    fn deliver(&self, state: &State, next: &mut Vec<State>) {
        for start in &state.starts {
            let (term, worker, attempt) = *start;
            let mut delivered = state.clone();
            delivered.starts.remove(start);
            let worker_state = &mut delivered.workers[worker];
            let is_fenced = self.guards.fences_worker && term < worker_state.term;
            let is_repeat = [worker_state.running, worker_state.ended, worker_state.lost]
                .contains(&Some(attempt));
            if !is_fenced && !is_repeat {
                worker_state.running = Some(attempt);
                delivered.run_count += 1;
            }
            next.push(delivered);
        }
    }

    /// Ends what runs on a worker, by itself or with its lease.
    fn end_attempts(&self, state: &State, next: &mut Vec<State>) {
        for worker in 0..PARTY_COUNT {
            let worker_state = &state.workers[worker];
            if worker_state.running.is_some() {
                let mut ended = state.clone();
                let attempt = ended.workers[worker].running.take();
                ended.workers[worker].ended = if self.guards.keeps_ends { attempt } else { None };
                next.push(ended);
            }
            if worker_state.is_leased && !worker_state.has_lapsed && worker_state.ended.is_none() {
                let mut after_lapse = state.clone();
                let running = after_lapse.workers[worker].running.take();
                after_lapse.workers[worker].lost = running.or(worker_state.lost);
                after_lapse.workers[worker].is_leased = false;
                after_lapse.workers[worker].has_lapsed = true;
                if self.guards.expires_starts {
                    after_lapse.starts.retain(|(_, start_worker, _)| *start_worker != worker);
                }
                // The placers know that it is not theirs until it is claimed.
                for placer in &mut after_lapse.placers {
                    placer.claimed[worker] = false;
                }
                next.push(after_lapse);
            }
        }
    }
}

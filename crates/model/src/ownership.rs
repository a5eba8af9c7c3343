//! Ownership of a region: two placers, two workers, one task.
//!
//! The first placer may be paused at any step while the second takes over. The
//! task must never run in two places, and at most once if it is not idempotent.

use std::collections::BTreeSet;

use crate::Model;

/// Attempts at the task that are searched.
const MOST_ATTEMPTS: u8 = 3;

/// Workers and placers.
const COUNT: usize = 2;

/// A `Guards` says which guards of the protocol are in place.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A write of the ledger fails once a later placer has taken it.
    pub fenced_ledger: bool,
    /// An attempt is recorded before it is sent.
    pub recorded_first: bool,
    /// A worker refuses terms lower than one it has seen.
    pub fenced_worker: bool,
    /// An attempt on a silent worker counts as running until its lease lapses.
    pub awaited_lapse: bool,
    /// A start is valid for less time than it takes to be sure of a lapse.
    pub timed_start: bool,
    /// A worker keeps ended attempts until their ends are recorded.
    pub kept_ends: bool,
}

impl Guards {
    /// All guards in place.
    pub const ALL: Self = Self {
        fenced_ledger: true,
        recorded_first: true,
        fenced_worker: true,
        awaited_lapse: true,
        timed_start: true,
        kept_ends: true,
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
    claimed: [bool; COUNT],
    over: bool,
}

/// A `Worker` is the state of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Worker {
    term: u8,
    leased: bool,
    running: Option<u8>,
    ended: Option<u8>,
    /// The attempt that a lapse of the lease ended.
    lost: Option<u8>,
    lapsed: bool,
}

/// A `State` is the state of all parties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    ledger: (u8, u8, Record),
    placers: [Placer; COUNT],
    workers: [Worker; COUNT],
    /// Starts under way: term, worker, attempt.
    starts: BTreeSet<(u8, usize, u8)>,
    runs: u8,
}

impl Model for Ownership {
    type State = State;

    fn start(&self) -> State {
        let placer = Placer {
            revision: None,
            record: Record::Pending(0),
            claimed: [false; COUNT],
            over: false,
        };
        let worker = Worker {
            term: 0,
            leased: false,
            running: None,
            ended: None,
            lost: None,
            lapsed: false,
        };
        State {
            ledger: (0, 0, Record::Pending(0)),
            placers: [placer; COUNT],
            workers: [worker; COUNT],
            starts: BTreeSet::new(),
            runs: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for placer in 0..COUNT {
            self.take_ledger(state, placer, &mut next);
            for worker in 0..COUNT {
                self.claim(state, placer, worker, &mut next);
                self.assign(state, placer, worker, &mut next);
            }
            self.settle(state, placer, &mut next);
        }
        self.deliver(state, &mut next);
        self.work(state, &mut next);
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        let running = state.workers.iter().filter(|worker| worker.running.is_some()).count();
        if running > 1 {
            return Some("the task runs in two places");
        }
        (!self.idempotent && state.runs > 1).then_some("the task ran twice")
    }
}

fn term(placer: usize) -> u8 {
    placer as u8 + 1
}

impl Ownership {
    fn take_ledger(&self, state: &State, placer: usize, next: &mut Vec<State>) {
        let (ledger_term, revision, record) = state.ledger;
        if state.placers[placer].revision.is_none() && ledger_term < term(placer) {
            let mut taken = state.clone();
            taken.ledger = (term(placer), revision + 1, record);
            taken.placers[placer].revision = Some(revision + 1);
            taken.placers[placer].record = record;
            next.push(taken);
        }
    }

    /// Claims a worker and takes in what it reports.
    fn claim(&self, state: &State, placer: usize, worker: usize, next: &mut Vec<State>) {
        let known = &state.placers[placer];
        let there = &state.workers[worker];
        if known.revision.is_none() || known.over || there.term > term(placer) {
            return;
        }
        let mut claimed = state.clone();
        claimed.workers[worker].term = term(placer);
        claimed.workers[worker].leased = true;
        claimed.workers[worker].lapsed = false;
        claimed.placers[placer].claimed[worker] = true;
        if let Record::Assigned(attempt, at) = known.record
            && at == worker
            && there.running != Some(attempt)
        {
            if there.ended == Some(attempt) {
                self.write(&mut claimed, placer, Record::Ended);
            } else if there.lost == Some(attempt) {
                self.give_up(&mut claimed, placer, attempt);
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
        let known = &state.placers[placer];
        let Record::Pending(last) = known.record else {
            return;
        };
        if !known.claimed[worker] || known.over || last >= MOST_ATTEMPTS {
            return;
        }
        let attempt = last + 1;
        let mut assigned = state.clone();
        if self.guards.recorded_first {
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
        let known = &state.placers[placer];
        let Record::Assigned(attempt, worker) = known.record else {
            return;
        };
        let is_sure = state.workers[worker].lapsed || !self.guards.awaited_lapse;
        if known.over || !is_sure {
            return;
        }
        let mut settled = state.clone();
        self.give_up(&mut settled, placer, attempt);
        next.push(settled);
    }

    fn give_up(&self, state: &mut State, placer: usize, attempt: u8) {
        let record = if self.idempotent { Record::Pending(attempt) } else { Record::Ended };
        self.write(state, placer, record);
    }

    /// Writes the ledger; `false` if the placer is over.
    fn write(&self, state: &mut State, placer: usize, record: Record) -> bool {
        let (ledger_term, revision, _) = state.ledger;
        if self.guards.fenced_ledger && state.placers[placer].revision != Some(revision) {
            state.placers[placer].over = true;
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
            let there = &mut delivered.workers[worker];
            let is_fenced = self.guards.fenced_worker && term < there.term;
            let is_repeat = [there.running, there.ended, there.lost].contains(&Some(attempt));
            if !is_fenced && !is_repeat {
                there.running = Some(attempt);
                delivered.runs += 1;
            }
            next.push(delivered);
        }
    }

    /// Ends what runs on a worker, by itself or with its lease.
    fn work(&self, state: &State, next: &mut Vec<State>) {
        for worker in 0..COUNT {
            let there = &state.workers[worker];
            if there.running.is_some() {
                let mut ended = state.clone();
                let done = ended.workers[worker].running.take();
                ended.workers[worker].ended = if self.guards.kept_ends { done } else { None };
                next.push(ended);
            }
            if there.leased && !there.lapsed && there.ended.is_none() {
                let mut lapsed = state.clone();
                let running = lapsed.workers[worker].running.take();
                lapsed.workers[worker].lost = running.or(there.lost);
                lapsed.workers[worker].leased = false;
                lapsed.workers[worker].lapsed = true;
                if self.guards.timed_start {
                    lapsed.starts.retain(|(_, at, _)| *at != worker);
                }
                // The placers know that it is not theirs until it is claimed.
                for placer in &mut lapsed.placers {
                    placer.claimed[worker] = false;
                }
                next.push(lapsed);
            }
        }
    }
}

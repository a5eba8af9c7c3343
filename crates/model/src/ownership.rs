//! Ownership of a region: two placers, two workers, one task.
//!
//! The first placer may pause at any step while the second takes over. The task
//! must never run on two workers at a time, and a task that is not idempotent
//! must run at most once.

use std::collections::BTreeSet;

use crate::Model;

/// Attempts of the task to search; bounds the state space.
const MAX_ATTEMPTS: u8 = 3;

/// Number of workers, and of placers.
const PARTY_COUNT: usize = 2;

/// Guards of the protocol that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A write of the ledger fails once a later placer has acquired the ledger.
    pub fences_ledger: bool,
    /// An attempt is recorded before its start is sent.
    pub records_before_start: bool,
    /// A worker refuses starts with a lower term than the highest one seen.
    pub fences_worker: bool,
    /// An attempt on a silent worker counts as running until the
    /// worker's lease lapses.
    pub awaits_lapse: bool,
    /// A start expires before the lease of its worker is known to have lapsed.
    pub expires_starts: bool,
    /// A worker keeps its ended attempts until their ends are recorded.
    pub keeps_ends: bool,
}

impl Guards {
    /// All guards enabled.
    pub const ALL: Self = Self {
        fences_ledger: true,
        records_before_start: true,
        fences_worker: true,
        awaits_lapse: true,
        expires_starts: true,
        keeps_ends: true,
    };
}

/// Model of the ownership of a region.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// Guards that are enabled.
    pub guards: Guards,
    /// Whether the task may run more than once.
    pub is_idempotent: bool,
}

/// Ledger entry of the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Record {
    /// The task waits; number of its last attempt, or 0.
    Pending(u8),
    /// The task has a worker; attempt and worker.
    Assigned(u8, usize),
    /// The task has ended.
    Ended,
}

/// View that one placer has of the ledger and the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Placer {
    /// Expected revision of the ledger; `None` until the placer acquires the
    /// ledger.
    revision: Option<u8>,
    record: Record,
    /// Whether the placer has claimed each worker.
    claimed: [bool; PARTY_COUNT],
    is_superseded: bool,
}

/// State of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Worker {
    term: u8,
    is_leased: bool,
    running: Option<u8>,
    ended: Option<u8>,
    /// Attempt that ended because the lease lapsed.
    lost: Option<u8>,
    has_lapsed: bool,
}

/// State of the ledger and of all parties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Term of the placer, revision, and entry of the task.
    ledger: (u8, u8, Record),
    placers: [Placer; PARTY_COUNT],
    workers: [Worker; PARTY_COUNT],
    /// Starts in flight: term, worker and attempt.
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
            self.abandon_lapsed(state, placer, &mut next);
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
        (!self.is_idempotent && state.run_count > 1).then_some("the task ran twice")
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

    /// Claims a worker and processes the attempts that the worker reports.
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
                // No start of this placer is in flight, and the worker refuses
                // starts of lower terms, so the attempt never ran.
                self.write(&mut claimed, placer, Record::Pending(attempt));
            }
        }
        next.push(claimed);
    }

    /// Assigns the task to a worker that the placer has claimed.
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

    /// Abandons the attempt of a worker whose lease has lapsed.
    fn abandon_lapsed(&self, state: &State, placer: usize, next: &mut Vec<State>) {
        let placer_state = &state.placers[placer];
        let Record::Assigned(attempt, worker) = placer_state.record else {
            return;
        };
        let can_abandon = state.workers[worker].has_lapsed || !self.guards.awaits_lapse;
        if placer_state.is_superseded || !can_abandon {
            return;
        }
        let mut abandoned = state.clone();
        self.abandon_attempt(&mut abandoned, placer, attempt);
        next.push(abandoned);
    }

    /// Makes an idempotent task pending again, and ends any other task.
    fn abandon_attempt(&self, state: &mut State, placer: usize, attempt: u8) {
        let record = if self.is_idempotent { Record::Pending(attempt) } else { Record::Ended };
        self.write(state, placer, record);
    }

    /// Writes the ledger. Returns `false` if a later placer has superseded this
    /// one.
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

    /// Delivers a start to its worker.
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

    /// Ends the running attempt of a worker, by completion or by a lapse of the
    /// lease.
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
                // Placers must claim the worker again before they assign to it.
                for placer in &mut after_lapse.placers {
                    placer.claimed[worker] = false;
                }
                next.push(after_lapse);
            }
        }
    }
}

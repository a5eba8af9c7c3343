//! Calls that may run at most once: one call id, received by two instances
//! while the ownership of the call's record passes from one owner to another.

use std::collections::BTreeSet;

use crate::Model;

/// Number of instances that receive the call, and of owners of the record.
const PARTY_COUNT: usize = 2;

/// Guards of the protocol that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A call is sent to a runner only after its record is written.
    pub records_before_start: bool,
    /// A write of the record fails once a later owner has acquired the record.
    pub fences_record: bool,
    /// A call is sent again only if it is known not to have run.
    pub resends_only_not_run: bool,
    /// A record is retracted only if the call is known not to have run.
    pub retracts_only_not_run: bool,
}

impl Guards {
    /// All guards enabled.
    pub const ALL: Self = Self {
        records_before_start: true,
        fences_record: true,
        resends_only_not_run: true,
        retracts_only_not_run: true,
    };
}

/// Model of the admission of a call.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Guards that are enabled.
    pub guards: Guards,
}

/// Progress of the call at a receiving instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    New,
    Admitted,
    Sent,
    /// The attempt failed; `true` if it is known not to have run.
    Failed(bool),
    Rejected,
}

/// View that one owner has of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Owner {
    revision: Option<u8>,
    is_recorded: bool,
    is_superseded: bool,
}

/// State of the stored record and of all parties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Term of the owner, revision, and whether the call id is recorded.
    stored: (u8, u8, bool),
    owners: [Owner; PARTY_COUNT],
    stages: [Stage; PARTY_COUNT],
    /// Receiving instances with an attempt on its way to a runner.
    in_flight: BTreeSet<usize>,
    run_count: u8,
    retract_count: u8,
}

impl Model for Admission {
    type State = State;

    fn initial_state(&self) -> State {
        let owner = Owner { revision: None, is_recorded: false, is_superseded: false };
        State {
            stored: (0, 0, false),
            owners: [owner; PARTY_COUNT],
            stages: [Stage::New; PARTY_COUNT],
            in_flight: BTreeSet::new(),
            run_count: 0,
            retract_count: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for owner in 0..PARTY_COUNT {
            self.acquire(state, owner, &mut next);
            for receiver in 0..PARTY_COUNT {
                self.admit(state, owner, receiver, &mut next);
                self.retract(state, owner, receiver, &mut next);
            }
        }
        for receiver in 0..PARTY_COUNT {
            self.send(state, receiver, &mut next);
        }
        for receiver in &state.in_flight {
            // The call runs but its answer is lost, or the runner refuses the
            // call, or the request is lost.
            for (has_run, is_not_run) in [(true, false), (false, true), (false, false)] {
                let mut delivered = state.clone();
                delivered.in_flight.remove(receiver);
                delivered.run_count += u8::from(has_run);
                delivered.stages[*receiver] = Stage::Failed(is_not_run);
                next.push(delivered);
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        (state.run_count > 1).then_some("the call ran twice")
    }
}

impl Admission {
    fn acquire(&self, state: &State, owner: usize, next: &mut Vec<State>) {
        let (term, revision, is_recorded) = state.stored;
        let owner_term = owner as u8 + 1;
        if state.owners[owner].revision.is_none() && term < owner_term {
            let mut acquired = state.clone();
            acquired.stored = (owner_term, revision + 1, is_recorded);
            acquired.owners[owner] =
                Owner { revision: Some(revision + 1), is_recorded, is_superseded: false };
            next.push(acquired);
        }
    }

    fn admit(&self, state: &State, owner: usize, receiver: usize, next: &mut Vec<State>) {
        let owner_state = state.owners[owner];
        let is_open = owner_state.revision.is_some() && !owner_state.is_superseded;
        if state.stages[receiver] != Stage::New || !is_open {
            return;
        }
        let mut admitted = state.clone();
        if owner_state.is_recorded {
            // With a record found, the caller learns that the call may have run.
            admitted.stages[receiver] = Stage::Rejected;
        } else if self.write(&mut admitted, owner, true) || !self.guards.records_before_start {
            admitted.stages[receiver] = Stage::Admitted;
        }
        next.push(admitted);
    }

    fn retract(&self, state: &State, owner: usize, receiver: usize, next: &mut Vec<State>) {
        let owner_state = state.owners[owner];
        let Stage::Failed(is_not_run) = state.stages[receiver] else {
            return;
        };
        let can_retract = is_not_run || !self.guards.retracts_only_not_run;
        if !can_retract
            || owner_state.revision.is_none()
            || owner_state.is_superseded
            || state.retract_count > 1
        {
            return;
        }
        let mut retracted = state.clone();
        retracted.retract_count += 1;
        self.write(&mut retracted, owner, false);
        // The caller may now send the call again, through any instance.
        retracted.stages[receiver] = Stage::New;
        next.push(retracted);
    }

    fn send(&self, state: &State, receiver: usize, next: &mut Vec<State>) {
        let can_send = match state.stages[receiver] {
            Stage::Admitted => true,
            Stage::Failed(is_not_run) => is_not_run || !self.guards.resends_only_not_run,
            Stage::New | Stage::Sent | Stage::Rejected => false,
        };
        if can_send {
            let mut sent = state.clone();
            sent.stages[receiver] = Stage::Sent;
            sent.in_flight.insert(receiver);
            next.push(sent);
        }
    }

    /// Writes the record. Returns `false` if a later owner has superseded this
    /// one.
    fn write(&self, state: &mut State, owner: usize, is_recorded: bool) -> bool {
        let (term, revision, _) = state.stored;
        if self.guards.fences_record && state.owners[owner].revision != Some(revision) {
            state.owners[owner].is_superseded = true;
            return false;
        }
        state.stored = (term, revision + 1, is_recorded);
        state.owners[owner].revision = Some(revision + 1);
        state.owners[owner].is_recorded = is_recorded;
        true
    }
}

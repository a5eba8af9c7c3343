//! Calls that may run at most once: one id, sent through two instances while
//! the record changes hands.

use std::collections::BTreeSet;

use crate::Model;

/// Instances that receive the call, and keepers of the record.
const COUNT: usize = 2;

/// A `Guards` says which guards of the protocol are in place.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// The call starts only once it is recorded.
    pub recorded_first: bool,
    /// A write of the record fails once a later keeper has taken it.
    pub fenced_record: bool,
    /// A call is sent again only if it surely has not run.
    pub sure_repeat: bool,
    /// A record is taken back only if the call surely has not run.
    pub sure_retract: bool,
}

impl Guards {
    /// All guards in place.
    pub const ALL: Self =
        Self { recorded_first: true, fenced_record: true, sure_repeat: true, sure_retract: true };
}

/// An `Admission` is the model.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// The guards in place.
    pub guards: Guards,
}

/// What a receiving instance has done with the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    New,
    Admitted,
    Sent,
    /// The attempt failed; whether it surely has not run.
    Failed(bool),
    Over,
}

/// What a keeper of the record knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Keeper {
    revision: Option<u8>,
    recorded: bool,
    over: bool,
}

/// A `State` is the state of all parties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Term, revision, and whether the id is on record.
    stored: (u8, u8, bool),
    keepers: [Keeper; COUNT],
    stages: [Stage; COUNT],
    /// Attempts on their way to a runner, by receiver.
    under_way: BTreeSet<usize>,
    runs: u8,
    retracts: u8,
}

impl Model for Admission {
    type State = State;

    fn start(&self) -> State {
        let keeper = Keeper { revision: None, recorded: false, over: false };
        State {
            stored: (0, 0, false),
            keepers: [keeper; COUNT],
            stages: [Stage::New; COUNT],
            under_way: BTreeSet::new(),
            runs: 0,
            retracts: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for keeper in 0..COUNT {
            self.take(state, keeper, &mut next);
            for receiver in 0..COUNT {
                self.admit(state, keeper, receiver, &mut next);
                self.retract(state, keeper, receiver, &mut next);
            }
        }
        for receiver in 0..COUNT {
            self.send(state, receiver, &mut next);
        }
        for receiver in &state.under_way {
            // It runs and its answer is lost, or it is refused, or it is lost.
            for (ran, sure) in [(true, false), (false, true), (false, false)] {
                let mut done = state.clone();
                done.under_way.remove(receiver);
                done.runs += u8::from(ran);
                done.stages[*receiver] = Stage::Failed(sure);
                next.push(done);
            }
        }
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        (state.runs > 1).then_some("the call ran twice")
    }
}

impl Admission {
    fn take(&self, state: &State, keeper: usize, next: &mut Vec<State>) {
        let (term, revision, recorded) = state.stored;
        let own = keeper as u8 + 1;
        if state.keepers[keeper].revision.is_none() && term < own {
            let mut taken = state.clone();
            taken.stored = (own, revision + 1, recorded);
            taken.keepers[keeper] = Keeper { revision: Some(revision + 1), recorded, over: false };
            next.push(taken);
        }
    }

    fn admit(&self, state: &State, keeper: usize, receiver: usize, next: &mut Vec<State>) {
        let known = state.keepers[keeper];
        let is_open = known.revision.is_some() && !known.over;
        if state.stages[receiver] != Stage::New || !is_open {
            return;
        }
        let mut admitted = state.clone();
        if known.recorded {
            // A record was found: the caller learns that it may have run.
            admitted.stages[receiver] = Stage::Over;
        } else if self.write(&mut admitted, keeper, true) || !self.guards.recorded_first {
            admitted.stages[receiver] = Stage::Admitted;
        }
        next.push(admitted);
    }

    fn retract(&self, state: &State, keeper: usize, receiver: usize, next: &mut Vec<State>) {
        let known = state.keepers[keeper];
        let Stage::Failed(sure) = state.stages[receiver] else {
            return;
        };
        let may = sure || !self.guards.sure_retract;
        if !may || known.revision.is_none() || known.over || state.retracts > 1 {
            return;
        }
        let mut retracted = state.clone();
        retracted.retracts += 1;
        self.write(&mut retracted, keeper, false);
        // The caller may now repeat the call, here or there.
        retracted.stages[receiver] = Stage::New;
        next.push(retracted);
    }

    fn send(&self, state: &State, receiver: usize, next: &mut Vec<State>) {
        let may = match state.stages[receiver] {
            Stage::Admitted => true,
            Stage::Failed(sure) => sure || !self.guards.sure_repeat,
            Stage::New | Stage::Sent | Stage::Over => false,
        };
        if may {
            let mut sent = state.clone();
            sent.stages[receiver] = Stage::Sent;
            sent.under_way.insert(receiver);
            next.push(sent);
        }
    }

    /// Writes the record; `false` if the keeper is over.
    fn write(&self, state: &mut State, keeper: usize, recorded: bool) -> bool {
        let (term, revision, _) = state.stored;
        if self.guards.fenced_record && state.keepers[keeper].revision != Some(revision) {
            state.keepers[keeper].over = true;
            return false;
        }
        state.stored = (term, revision + 1, recorded);
        state.keepers[keeper].revision = Some(revision + 1);
        state.keepers[keeper].recorded = recorded;
        true
    }
}

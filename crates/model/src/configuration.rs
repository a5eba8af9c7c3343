//! Acceptance of configurations: two operators, three instances, a store that
//! loses answers.
//!
//! A change that was accepted must stay in the line of versions, and no
//! instance may go back to an earlier version.

use std::collections::BTreeSet;

use crate::Model;

/// Instances.
const COUNT: usize = 3;

/// Versions that are searched.
const MOST_VERSIONS: u8 = 3;

/// A version with the operator that made it: two operators may make different
/// configurations of the same version.
type Config = (u8, u8);

/// A `Guards` says which guards of the protocol are in place.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A change is written by compare-and-swap.
    pub compared: bool,
    /// A change is accepted and passed on only once it is stored.
    pub stored_first: bool,
    /// An instance takes only a higher version than its own.
    pub rising: bool,
}

/// A `Configuration` is the model.
#[derive(Clone, Copy, Debug)]
pub struct Configuration {
    /// The guards in place.
    pub guards: Guards,
}

/// A `State` is what is stored, in force and under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    stored: Config,
    /// Every configuration that was ever stored.
    line: BTreeSet<Config>,
    in_force: [Config; COUNT],
    /// Writes under way: the version they expect and what they write.
    writes: BTreeSet<(Config, Config)>,
    /// Configurations on their way to an instance.
    passed: BTreeSet<(usize, Config)>,
    accepted: BTreeSet<Config>,
    went_back: bool,
}

impl Model for Configuration {
    type State = State;

    fn start(&self) -> State {
        State {
            stored: (0, 0),
            line: BTreeSet::from([(0, 0)]),
            in_force: [(0, 0); COUNT],
            writes: BTreeSet::new(),
            passed: BTreeSet::new(),
            accepted: BTreeSet::new(),
            went_back: false,
        }
    }

    fn steps(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        // Two operators, each at an instance of its own, read and decide.
        for operator in 1..=2u8 {
            let (version, _) = state.stored;
            let is_busy = state.writes.iter().any(|(_, (_, by))| *by == operator);
            if version < MOST_VERSIONS && !is_busy {
                let wanted = (version + 1, operator);
                let mut decided = state.clone();
                decided.writes.insert((state.stored, wanted));
                if !self.guards.stored_first {
                    decided.accept(wanted);
                }
                next.push(decided);
            }
        }
        // A write takes effect, or finds that another came first.
        for write in &state.writes {
            let (expected, wanted) = *write;
            let mut done = state.clone();
            done.writes.remove(write);
            if state.stored == expected || !self.guards.compared {
                done.stored = wanted;
                done.line.insert(wanted);
                // The answer may be lost; reading back finds the write.
                done.accept(wanted);
            }
            next.push(done);
        }
        for (instance, config) in &state.passed {
            let mut taken = state.clone();
            taken.passed.remove(&(*instance, *config));
            taken.take(*instance, *config, self.guards.rising);
            next.push(taken);
        }
        // An instance starts anew and reads the store.
        for instance in 0..COUNT {
            if state.in_force[instance] != state.stored {
                let mut restarted = state.clone();
                restarted.in_force[instance] = state.stored;
                next.push(restarted);
            }
        }
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        if state.went_back {
            return Some("an instance went back to an earlier version");
        }
        let is_lost = |config: &Config| {
            let (version, _) = config;
            // Another configuration of the same version has taken its place.
            !state.line.contains(config)
                || state.line.iter().any(|other| other.0 == *version && other != config)
        };
        state.accepted.iter().any(is_lost).then_some("an accepted change was lost")
    }
}

impl State {
    fn accept(&mut self, config: Config) {
        self.accepted.insert(config);
        self.passed.extend((0..COUNT).map(|instance| (instance, config)));
    }

    fn take(&mut self, instance: usize, config: Config, rising: bool) {
        let (version, _) = self.in_force[instance];
        if rising && config.0 <= version {
            return;
        }
        self.went_back |= config.0 < version;
        self.in_force[instance] = config;
    }
}

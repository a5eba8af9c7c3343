//! Acceptance of configurations: two operators, three instances, a store that
//! loses answers.
//!
//! A change that was accepted must stay in the line of versions, and no
//! instance may go back to an earlier version.

use std::collections::BTreeSet;

use crate::Model;

/// Instances.
const INSTANCE_COUNT: usize = 3;

/// Versions that are searched.
const MAX_VERSION: u8 = 3;

/// A version with the operator that made it: two operators may make different
/// configurations of the same version.
type Config = (u8, u8);

/// A `Guards` says which guards of the protocol are in place.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A change is written by compare-and-swap.
    pub uses_cas: bool,
    /// A change is accepted and passed on only once it is stored.
    pub stores_before_accepting: bool,
    /// An instance takes only a higher version than its own.
    pub rejects_older_versions: bool,
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
    history: BTreeSet<Config>,
    in_force: [Config; INSTANCE_COUNT],
    /// Writes under way: the version they expect and what they write.
    writes: BTreeSet<(Config, Config)>,
    /// Configurations on their way to an instance.
    in_flight: BTreeSet<(usize, Config)>,
    accepted: BTreeSet<Config>,
    has_regressed: bool,
}

impl Model for Configuration {
    type State = State;

    fn initial_state(&self) -> State {
        State {
            stored: (0, 0),
            history: BTreeSet::from([(0, 0)]),
            in_force: [(0, 0); INSTANCE_COUNT],
            writes: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            accepted: BTreeSet::new(),
            has_regressed: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        // Two operators, each at an instance of its own, read and decide.
        for operator in 1..=2u8 {
            let (version, _) = state.stored;
            let is_busy = state.writes.iter().any(|(_, (_, by))| *by == operator);
            if version < MAX_VERSION && !is_busy {
                let proposed = (version + 1, operator);
                let mut decided = state.clone();
                decided.writes.insert((state.stored, proposed));
                if !self.guards.stores_before_accepting {
                    decided.accept(proposed);
                }
                next.push(decided);
            }
        }
        // A write takes effect, or finds that another came first.
        for write in &state.writes {
            let (expected, proposed) = *write;
            let mut done = state.clone();
            done.writes.remove(write);
            if state.stored == expected || !self.guards.uses_cas {
                done.stored = proposed;
                done.history.insert(proposed);
                // The answer may be lost; reading back finds the write.
                done.accept(proposed);
            }
            next.push(done);
        }
        for (instance, config) in &state.in_flight {
            let mut applied = state.clone();
            applied.in_flight.remove(&(*instance, *config));
            applied.apply(*instance, *config, self.guards.rejects_older_versions);
            next.push(applied);
        }
        // An instance starts anew and reads the store.
        for instance in 0..INSTANCE_COUNT {
            if state.in_force[instance] != state.stored {
                let mut restarted = state.clone();
                restarted.in_force[instance] = state.stored;
                next.push(restarted);
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.has_regressed {
            return Some("an instance went back to an earlier version");
        }
        let is_lost = |config: &Config| {
            let (version, _) = config;
            // Another configuration of the same version has taken its place.
            !state.history.contains(config)
                || state.history.iter().any(|other| other.0 == *version && other != config)
        };
        state.accepted.iter().any(is_lost).then_some("an accepted change was lost")
    }
}

impl State {
    fn accept(&mut self, config: Config) {
        self.accepted.insert(config);
        self.in_flight.extend((0..INSTANCE_COUNT).map(|instance| (instance, config)));
    }

    fn apply(&mut self, instance: usize, config: Config, rejects_older_versions: bool) {
        let (version, _) = self.in_force[instance];
        if rejects_older_versions && config.0 <= version {
            return;
        }
        self.has_regressed |= config.0 < version;
        self.in_force[instance] = config;
    }
}

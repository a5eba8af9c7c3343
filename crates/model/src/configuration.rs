//! Acceptance of configurations: two operators, three instances, and a store
//! whose answers can be lost.
//!
//! An accepted change must stay in the history of versions, and no instance may
//! return to an earlier version.

use std::collections::BTreeSet;

use crate::Model;

/// Number of instances.
const INSTANCE_COUNT: usize = 3;

/// Highest version to search; bounds the state space.
const MAX_VERSION: u8 = 3;

/// Version and its author: two operators may create different configurations
/// with the same version.
type Config = (u8, u8);

/// Guards of the protocol that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// A change is written by compare-and-swap.
    pub uses_cas: bool,
    /// A change is accepted and distributed only after it is stored.
    pub stores_before_accepting: bool,
    /// An instance applies only versions higher than its own.
    pub rejects_older_versions: bool,
}

/// Model of the acceptance of configurations.
#[derive(Clone, Copy, Debug)]
pub struct Configuration {
    /// Guards that are enabled.
    pub guards: Guards,
}

/// Configurations that are stored, in force and in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    stored: Config,
    /// Every configuration that was ever stored.
    history: BTreeSet<Config>,
    in_force: [Config; INSTANCE_COUNT],
    /// Writes in flight: expected and new configuration.
    writes: BTreeSet<(Config, Config)>,
    /// Configurations in flight, with the receiving instance.
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
        // Each operator, connected to a different instance, reads the stored
        // version and proposes the next one.
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
        // A write takes effect, or fails because another write came first.
        for write in &state.writes {
            let (expected, proposed) = *write;
            let mut done = state.clone();
            done.writes.remove(write);
            if state.stored == expected || !self.guards.uses_cas {
                done.stored = proposed;
                done.history.insert(proposed);
                // If the answer is lost, reading back finds the write.
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
        // An instance restarts and reads the store.
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
            // Also lost if another configuration has the same version.
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

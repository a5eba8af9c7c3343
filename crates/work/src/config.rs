//! What governs jobs: queues, teams and pools of targets.

use std::collections::HashMap;

use base::{Name, Resources};
use serde::{Deserialize, Serialize};

/// A `Config` is one version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its number; a later one is higher.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools of targets, by name.
    pub services: HashMap<Name, Service>,
    /// The teams, by name.
    pub teams: HashMap<Name, Team>,
    /// The team of each key.
    pub keys: HashMap<Name, Name>,
    /// Limits on requests.
    pub limits: Limits,
}

/// A `Limits` bounds the requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
}

/// The default holds until an operator sets a limit.
impl Default for Limits {
    fn default() -> Self {
        Self { max_body_bytes: 256 << 10 }
    }
}

/// A `Queue` is where jobs are sent to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Name,
    /// The host that clients name.
    pub host: Name,
    /// What the paths of its requests begin with.
    pub prefix: Name,
    /// Whether no key is needed.
    pub is_public: bool,
    /// How its jobs are handled.
    pub policy: Policy,
}

/// A `Policy` is how the jobs of a queue are handled.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// The pool whose targets run the tasks.
    pub service: Name,
    /// Its urgency; 0 comes first.
    pub priority: u32,
    /// Failures of a task after which its job has failed.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// The objective, as a factor on the job's longest chain of work, in
    /// thousandths.
    pub objective_factor_milli: u32,
    /// What the objective adds to that, in milliseconds.
    pub objective_ms: u32,
    /// Whether targets have to be allowed for each step.
    pub advice: Option<Advice>,
}

/// An `Advice` is how long it takes to learn which targets may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Time for each request, in microseconds.
    pub request_us: u32,
    /// Time for each target that is named, in microseconds.
    pub target_us: u32,
    /// Time for which a ticket is valid, in milliseconds.
    pub valid_ms: u32,
}

/// A `Service` is a pool of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether the targets refuse what they have no room for.
    pub enforces_capacity: bool,
    /// Whether the pool's machines are off.
    pub is_standby: bool,
}

/// A `Team` is a client account with keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its share when all is full, against those of the others.
    pub weight: u32,
    /// Most that it may have running; `Resources::MAX` in each part without a
    /// limit.
    pub limit: Resources,
}

impl Config {
    /// Gets the queue that a request is for: of those of the host, the one
    /// with the longest prefix that the path begins with.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// Gets how the jobs of a queue are handled; `recorded` if it is gone.
    pub fn policy<'a>(&'a self, queue: &str, recorded: &'a Policy) -> &'a Policy {
        let found = self.queues.iter().find(|known| &*known.name == queue);
        found.map_or(recorded, |queue| &queue.policy)
    }
}

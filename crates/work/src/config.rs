//! Configuration that governs jobs: queues, teams and pools of targets.

use std::collections::HashMap;

use base::{Name, Resources};
use serde::{Deserialize, Serialize};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number; later versions have higher numbers.
    pub version: u64,
    /// Queues that jobs are sent to.
    pub queues: Vec<Queue>,
    /// Pools of targets, by name.
    pub services: HashMap<Name, Service>,
    /// Client accounts, by name.
    pub teams: HashMap<Name, Team>,
    /// Name of the team that each key belongs to.
    pub keys: HashMap<Name, Name>,
    /// Limits on client requests.
    pub limits: Limits,
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Time within which a head must be complete, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Limits that apply until an operator sets others.
impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 256 << 10,
            max_header_bytes: 16 << 10,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Entry point for jobs, selected by host and path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Name,
    /// Host that client requests must carry.
    pub host: Name,
    /// Prefix that request paths must start with.
    pub prefix: Name,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Rules for the jobs of the queue.
    pub policy: Policy,
}

/// Rules for the jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Pool whose targets run the tasks.
    pub service: Name,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    #[serde(rename = "most_attempts")]
    pub max_attempts: u32,
    /// Job objective as a multiple of the estimate of the job's longest chain
    /// of steps, in thousandths.
    pub objective_factor_milli: u32,
    /// Constant part of the job objective, in milliseconds.
    pub objective_ms: u32,
    /// Cost of asking which targets may run a step; `None` if all targets of
    /// the pool may.
    pub advice: Option<Advice>,
}

/// Cost of advice: asking the advice service which targets may run a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Fixed time per request, in microseconds.
    pub request_us: u32,
    /// Additional time per target named in a request, in microseconds.
    pub target_us: u32,
    /// Lifetime of a ticket, in milliseconds.
    pub valid_ms: u32,
}

/// Pool of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether the targets refuse runs that exceed their free capacity.
    pub enforces_capacity: bool,
    /// Whether the machines of the pool are switched off.
    pub is_standby: bool,
}

/// Client account with keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Share of the team relative to the weights of other teams when capacity
    /// is short.
    pub weight: u32,
    /// Maximum resources of the team's concurrent runs; `Resources::MAX` in
    /// each field that has no limit.
    pub limit: Resources,
}

impl Config {
    /// Returns the queue of a request: among the queues of `host`, the one with
    /// the longest matching path prefix.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| &*queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the policy of a queue, or `recorded` if the queue no longer
    /// exists.
    pub fn policy<'a>(&'a self, queue: &str, recorded: &'a Policy) -> &'a Policy {
        let found = self.queues.iter().find(|known| &*known.name == queue);
        found.map_or(recorded, |queue| &queue.policy)
    }
}

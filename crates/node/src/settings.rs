//! Settings of a node.

use std::time::Duration;

use base::Level;
use serde::{Deserialize, Serialize};

/// A `Settings` is everything a node is told when it starts. Keys that it
/// doesn't know are ignored, as later releases of the platform add some.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Address of the port towards clients.
    pub clients: String,
    /// Address of the port that tells whether the instance is ready.
    pub readiness: String,
    /// Address of the port that tells counters and times; empty for none.
    pub metrics: String,
    /// Address of the port towards other instances.
    pub links: String,
    /// Address of the key-value service.
    pub store: String,
    /// Address of the service that knows which targets may run a step; empty
    /// if there is none.
    pub advice: String,
    /// What the instance may use.
    pub limits: Limits,
    /// Bounds that the platform's operators set.
    pub bounds: Bounds,
    /// Times of the lead.
    pub lead: LeaderLease,
    /// Moving runs to make room for tasks that start together.
    pub preemption: Preemption,
    /// Logs.
    pub log: Log,
}

/// What an instance may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Share of a core.
    pub cpu_share: f64,
    /// Cores; more than one where they are faster.
    pub cores: f64,
    /// Rate of the link, in megabits a second.
    pub link_mbps: f64,
}

/// The default is one core and a gigabit.
impl Default for Limits {
    fn default() -> Self {
        Self { cpu_share: 1.0, cores: 1.0, link_mbps: 1000.0 }
    }
}

/// Bounds that the platform's operators set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time after which a withdrawn key must not work, in milliseconds.
    pub revoke_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Longest lease of a target, in milliseconds.
    pub hold_max_ms: u64,
    /// For how long finished jobs are known, in seconds.
    pub status_s: f64,
}

/// The defaults are the bounds of the users' deployments.
impl Default for Bounds {
    fn default() -> Self {
        Self { revoke_ms: 5000, grace_s: 6.0, hold_max_ms: 10_000, status_s: 120.0 }
    }
}

/// Times of the lead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaderLease {
    /// Time after which the lead of a silent instance lapses, in milliseconds.
    pub ttl_ms: u64,
    /// Time between renewals, in milliseconds.
    pub renew_ms: u64,
    /// How long before the lapse the leader stops giving orders, in
    /// milliseconds; the time that a renewal may take to arrive.
    pub margin_ms: u64,
}

/// The defaults bridge two lost renewals, and the others wait for two seconds
/// when the leader has ended.
impl Default for LeaderLease {
    fn default() -> Self {
        Self { ttl_ms: 1800, renew_ms: 450, margin_ms: 200 }
    }
}

/// Moving runs to make room for tasks that start together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Preemption {
    /// Times that a task is moved at most while one instance leads; 0 if none
    /// ever is.
    pub moves_per_task: u32,
    /// Time that a job must have left beyond its work for its tasks to be moved,
    /// in milliseconds.
    pub slack_ms: u64,
}

impl Default for Preemption {
    fn default() -> Self {
        let plan::Preemption { moves_per_task, slack, .. } = plan::Preemption::default();
        Self { moves_per_task, slack_ms: slack.as_millis() as u64 }
    }
}

/// Logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// The lowest level that is written.
    pub level: Level,
}

impl Settings {
    /// Gets how fit the instance is to lead, in thousandths of a core that it
    /// may use; a slow link counts for a part of one.
    pub(crate) fn strength_milli(&self) -> u32 {
        /// Megabits a second that go with a thousandth of a core: a takeover
        /// reads some megabytes, which may take a second.
        const MILLI_PER_MBPS: f64 = 5.0;
        let processor = self.limits.cpu_share * self.limits.cores * 1000.0;
        processor.min(self.limits.link_mbps * MILLI_PER_MBPS) as u32
    }

    /// Tells whether stronger instances are to take a free lead first.
    pub(crate) fn is_weak(&self) -> bool {
        /// A placer of 600 starts a second takes 0.2 of a core.
        const MIN_STRONG_MILLI: u32 = 200;
        self.strength_milli() < MIN_STRONG_MILLI
    }

    /// Gets the time since the last confirmed configuration after which keys
    /// are refused.
    pub(crate) fn max_config_age(&self) -> Duration {
        /// For how long a request that was admitted may still take.
        const REQUEST_MARGIN_MS: u64 = 1500;
        Duration::from_millis(self.bounds.revoke_ms.saturating_sub(REQUEST_MARGIN_MS))
    }
}

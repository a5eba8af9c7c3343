//! Settings of a node.

use std::time::Duration;

use base::Level;
use serde::{Deserialize, Deserializer, Serialize, de::Error};

/// Settings of a node at start. Unknown keys are ignored because later releases
/// of the platform add keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Listen address for clients.
    pub clients: String,
    /// Listen address of the readiness check.
    pub readiness: String,
    /// Listen address of the metrics endpoint; empty to disable the endpoint.
    pub metrics: String,
    /// Listen address for links from other instances.
    pub links: String,
    /// Address of the key-value service.
    pub store: String,
    /// Address of the advice service, which decides which targets may run a
    /// step; empty if there is none.
    pub advice: String,
    /// Resource limits of the instance.
    pub limits: Limits,
    /// Bounds set by the platform's operators.
    pub bounds: Bounds,
    /// Timing of the leader lease.
    pub lead: LeaderLease,
    /// Limits on preempting runs to make room for tasks that start together.
    pub preemption: Preemption,
    /// Whether tasks with a latency goal may share targets with backfill, which
    /// then yields to them.
    pub interference: Switch,
    /// Log settings.
    pub log: Log,
}

/// Whether a part of the behaviour is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    /// In use.
    #[default]
    On,
    /// Not in use.
    Off,
}

/// Resource limits of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Share of a core that the instance may use.
    pub cpu_share: f64,
    /// Number of cores that `cpu_share` applies to; faster cores count as more
    /// than one.
    pub cores: f64,
    /// Bandwidth of the network link, in megabits per second.
    pub link_mbps: f64,
    /// Maximum size of a stored job, in bytes. Its progress is stored in one
    /// value as well, and the key-value service limits the size of a value.
    pub job_bytes: usize,
    /// Memory of the machine, in MiB. Clients may use a part of it.
    #[serde(deserialize_with = "memory_mb")]
    pub memory_mb: u64,
    /// Number of file descriptors that the process may use.
    #[serde(deserialize_with = "max_fds")]
    pub max_fds: usize,
}

/// One core, a gigabit per second, three quarters of a value of 1 MiB, and the
/// memory and descriptors of the smallest instances.
impl Default for Limits {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            cores: 1.0,
            link_mbps: 1000.0,
            job_bytes: 768 * 1024,
            memory_mb: 120,
            max_fds: 3075,
        }
    }
}

fn memory_mb<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(filled(deserializer)?.unwrap_or(Limits::default().memory_mb))
}

fn max_fds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    Ok(filled(deserializer)?.map_or(Limits::default().max_fds, |count| count as usize))
}

/// Reads a number, which may be in quotes. An empty text and a placeholder that
/// was left unfilled count as absent: releases of the platform that lack the
/// value render it so.
fn filled<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Value {
        Number(f64),
        Text(String),
    }
    match Option::<Value>::deserialize(deserializer)? {
        None => Ok(None),
        Some(Value::Number(number)) => Ok(Some(number as u64)),
        Some(Value::Text(text)) if text.trim().is_empty() || text.starts_with("{{") => Ok(None),
        Some(Value::Text(text)) => {
            text.trim().parse().map(|number: f64| Some(number as u64)).map_err(D::Error::custom)
        }
    }
}

/// Bounds set by the platform's operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Time after which a new version of the configuration must be in force, in
    /// milliseconds.
    pub config_apply_ms: u64,
    /// Time after which a withdrawn key must be rejected, in milliseconds.
    pub revoke_ms: u64,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_s: f64,
    /// Maximum lease of a target, in milliseconds.
    pub hold_max_ms: u64,
    /// Time for which the state of a finished job stays available, in seconds.
    pub status_s: f64,
    /// Time after which nothing may be started in an evacuated data centre, in
    /// milliseconds; `None` if there are no evacuations. The template of the
    /// settings renders it as text, which is empty if there is no value.
    #[serde(deserialize_with = "filled")]
    pub evacuate_ms: Option<u64>,
    /// Time for which a task may exceed its latency goal because of backfill, in
    /// milliseconds.
    pub harm_ms: u64,
    /// Time after which a target has carried out a pace order, in milliseconds.
    pub pace_ms: u64,
}

/// Bounds of the users' deployments.
impl Default for Bounds {
    fn default() -> Self {
        Self {
            config_apply_ms: 2500,
            revoke_ms: 5000,
            grace_s: 6.0,
            hold_max_ms: 10_000,
            status_s: 120.0,
            evacuate_ms: None,
            harm_ms: 4000,
            pace_ms: 100,
        }
    }
}

/// Timing of the leader lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaderLease {
    /// Time after which the leadership of an unresponsive instance expires, in
    /// milliseconds.
    pub ttl_ms: u64,
    /// Interval between lease renewals, in milliseconds.
    pub renew_ms: u64,
    /// Time before the expiry of the lease at which the leader stops sending
    /// orders, in milliseconds. Covers the time that a renewal may take to
    /// reach the key-value service.
    pub margin_ms: u64,
}

/// The defaults tolerate two lost renewals. After a crash of the leader, the
/// other instances wait two seconds.
impl Default for LeaderLease {
    fn default() -> Self {
        Self { ttl_ms: 1800, renew_ms: 450, margin_ms: 200 }
    }
}

/// Limits on preempting runs to make room for tasks that start together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Preemption {
    /// Maximum number of times that a task is preempted during one term; 0
    /// disables preemption.
    pub moves_per_task: u32,
    /// Time that must remain until a job's objective, beyond the job's
    /// remaining work, before tasks of the job may be preempted, in
    /// milliseconds.
    pub slack_ms: u64,
}

impl Default for Preemption {
    fn default() -> Self {
        let plan::Preemption { max_per_task, slack, .. } = plan::Preemption::default();
        Self { moves_per_task: max_per_task, slack_ms: slack.as_millis() as u64 }
    }
}

/// Log settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// Lowest level that is logged.
    pub level: Level,
}

impl Settings {
    /// Returns the instance's capacity to lead, in thousandths of a core. A
    /// slow network link reduces the value.
    pub(crate) fn strength_milli(&self) -> u32 {
        /// Thousandths of a core that correspond to one megabit per second: a
        /// takeover reads a few megabytes, which may take a second.
        const MILLI_PER_MBPS: f64 = 5.0;
        let processor = self.limits.cpu_share * self.limits.cores * 1000.0;
        processor.min(self.limits.link_mbps * MILLI_PER_MBPS) as u32
    }

    /// Returns whether the instance leaves a vacant leadership to stronger
    /// instances first.
    pub(crate) fn is_weak(&self) -> bool {
        /// A placer that sends 600 starts per second uses 0.2 of a core.
        const MIN_STRONG_MILLI: u32 = 200;
        self.strength_milli() < MIN_STRONG_MILLI
    }

    /// Returns the age of the last confirmation from which the configuration no
    /// longer shows that a queue or key does not exist.
    pub(crate) fn max_refusal_age(&self) -> Duration {
        Duration::from_millis(self.bounds.config_apply_ms)
    }

    /// Returns the age of the last confirmation from which evacuations may exist
    /// that are not known; nothing is started then. `None` if there are no
    /// evacuations.
    pub(crate) fn max_evacuation_age(&self) -> Option<Duration> {
        /// Time that a start takes to reach its target: the timeout of an order,
        /// and as much again for a busy instance and a slow link, with the wait
        /// for a connection.
        const START_MARGIN_MS: u64 = 1500;
        let age_ms = self.bounds.evacuate_ms?.saturating_sub(START_MARGIN_MS);
        Some(Duration::from_millis(age_ms))
    }

    /// Returns the maximum age of the last confirmed configuration; keys are
    /// refused when the configuration is older.
    pub(crate) fn max_config_age(&self) -> Duration {
        /// Time that an already admitted request may still take.
        const REQUEST_MARGIN_MS: u64 = 1500;
        Duration::from_millis(self.bounds.revoke_ms.saturating_sub(REQUEST_MARGIN_MS))
    }
}

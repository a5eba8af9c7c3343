//! Metrics of the process.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// The call was answered.
    Answered,
    /// The call failed and has not run.
    NotRun,
    /// The call failed and may have run.
    MayHaveRun,
}

/// Labels of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Metrics that the process records.
#[derive(Clone, Debug)]
pub struct Counters {
    /// Calls by outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Time that calls waited for a slot, in seconds.
    pub call_wait: Histogram,
    /// Retries of calls.
    pub retries: Counter,
    /// Calls forwarded to a peer.
    pub forwards: Counter,
    /// Calls in flight.
    pub calls_in_flight: Gauge,
    /// Placed tasks.
    pub placements: Counter,
    /// Time from acceptance of a job to the placement of a task, in seconds.
    pub task_wait: Histogram,
    /// Preempted tasks.
    pub preemptions: Counter,
    /// Attempts lost with their worker.
    pub lost_attempts: Counter,
    /// Reads of the key-value service.
    pub store_reads: Counter,
    /// Writes to the key-value service.
    pub store_writes: Counter,
    /// Failed requests to the key-value service.
    pub store_failures: Counter,
    /// Bytes sent to peers.
    pub peer_bytes: Counter,
    /// Version of the configuration in force.
    pub config_version: Gauge<u64, AtomicU64>,
}

/// Registry of the metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Registered metrics.
    pub counters: Counters,
}

impl Default for Metrics {
    fn default() -> Self {
        let seconds = || Histogram::new(exponential_buckets(0.0001, 2.0, 20));
        let counters = Counters {
            calls: Family::default(),
            call_wait: seconds(),
            retries: Counter::default(),
            forwards: Counter::default(),
            calls_in_flight: Gauge::default(),
            placements: Counter::default(),
            task_wait: seconds(),
            preemptions: Counter::default(),
            lost_attempts: Counter::default(),
            store_reads: Counter::default(),
            store_writes: Counter::default(),
            store_failures: Counter::default(),
            peer_bytes: Counter::default(),
            config_version: Gauge::default(),
        };
        let mut registry = Registry::with_prefix("skylarkspan");
        let c = counters.clone();
        registry.register("calls", "Calls by outcome", c.calls);
        registry.register("call_wait_seconds", "Time calls waited for a slot", c.call_wait);
        registry.register("call_retries", "Calls sent again", c.retries);
        registry.register("call_forwards", "Calls sent on to a peer", c.forwards);
        registry.register("calls_in_flight", "Calls in flight", c.calls_in_flight);
        registry.register("placements", "Tasks placed", c.placements);
        registry.register("task_wait_seconds", "Time tasks waited to be placed", c.task_wait);
        registry.register("preemptions", "Tasks preempted", c.preemptions);
        registry.register("lost_attempts", "Attempts lost with their worker", c.lost_attempts);
        registry.register("store_reads", "Reads of the key-value service", c.store_reads);
        registry.register("store_writes", "Writes to the key-value service", c.store_writes);
        registry.register("store_failures", "Failed key-value requests", c.store_failures);
        registry.register("peer_sent_bytes", "Bytes sent to peers", c.peer_bytes);
        registry.register("config_version", "Configuration in force", c.config_version);
        Self { registry, counters }
    }
}

impl Metrics {
    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

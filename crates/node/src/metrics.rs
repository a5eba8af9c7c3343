//! Metrics of a node.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the histogram buckets, in seconds. The range extends from an
/// answer of the key-value service to a job that waits too long.
const BUCKETS_S: [f64; 11] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Labels of a counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Labels {
    /// Kind of the request or order.
    pub(crate) kind: &'static str,
    /// Outcome of the request or order.
    pub(crate) outcome: &'static str,
}

/// Port, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PortLabel {
    port: &'static str,
}

/// Metrics of the connections of clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gates {
    /// Clients refused or disconnected, by port and reason.
    pub(crate) refusals: Family<Labels, Counter>,
    connections: Family<PortLabel, Gauge>,
    held: Family<PortLabel, Gauge>,
}

impl Gates {
    /// Sets the number of open connections of a port.
    pub(crate) fn set_connections(&self, port: &'static str, count: usize) {
        self.connections.get_or_create(&PortLabel { port }).set(count as i64);
    }

    /// Sets the number of held bytes of clients and of links.
    pub(crate) fn set_held(&self, clients: usize, links: usize) {
        self.held.get_or_create(&PortLabel { port: "clients" }).set(clients as i64);
        self.held.get_or_create(&PortLabel { port: "links" }).set(links as i64);
    }

    fn register(&self, registry: &mut Registry) {
        let help = "Clients refused or disconnected for lack of room or time";
        registry.register("client_refusals", help, self.refusals.clone());
        registry.register("connections", "Open connections of a port", self.connections.clone());
        registry.register("held_bytes", "Bytes charged to requests", self.held.clone());
    }
}

/// Label of a gauge.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Subject {
    /// What is counted.
    pub(crate) what: &'static str,
}

/// Metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Client requests.
    pub(crate) requests: Family<Labels, Counter>,
    /// Orders to targets.
    pub(crate) orders: Family<Labels, Counter>,
    /// Advice requests.
    pub(crate) advice: Family<Labels, Counter>,
    /// Runs taken for ended without an end listed by their targets, by evidence;
    /// the outcome tells whether they reappeared.
    pub(crate) releases: Family<Labels, Counter>,
    /// Crashes of targets under tasks; the outcome tells whether the task was
    /// given up.
    pub(crate) crashes: Family<Labels, Counter>,
    /// Targets suspected or cleared, and tasks taken for faulty.
    pub(crate) suspicions: Family<Labels, Counter>,
    /// Connections of clients.
    pub(crate) gates: Gates,
    /// Runs with a latency goal and of backfill, and kinds of tasks that are known.
    pub(crate) interference: Family<Subject, Gauge>,
    /// Placement rounds that ended before all waiting steps were considered.
    pub(crate) limited_rounds: Counter,
    /// Terms that this node has started as leader.
    pub(crate) takeovers: Counter,
    /// 1 while this node leads, 0 otherwise.
    pub(crate) leads: Gauge,
    /// Number of evacuated data centres, as known to this node.
    pub(crate) evacuations: Gauge,
    /// Number of runs that may exist in evacuated data centres; 0 unless this node
    /// leads.
    pub(crate) evacuated_runs: Gauge,
    /// Number of targets that are usually faster or slower than the others; 0 unless
    /// this node leads.
    pub(crate) uneven_targets: Gauge,
    /// Inherited tasks that wait for targets which have not listed their runs.
    pub(crate) recovery_tasks: Gauge,
    /// Targets for which they wait.
    pub(crate) recovery_targets: Gauge,
    /// Time to record a client's request.
    pub(crate) write_time: Histogram,
    /// Response time of start orders.
    pub(crate) start_time: Histogram,
    /// Time to record progress.
    pub(crate) record_time: Histogram,
    /// Duration of a placement round.
    pub(crate) round_time: Histogram,
    /// Time to read the stored state at the beginning of a term.
    pub(crate) read_time: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(BUCKETS_S);
        let mut metrics = Self {
            registry: Registry::with_prefix("skylarkspan_node"),
            requests: Family::default(),
            orders: Family::default(),
            advice: Family::default(),
            releases: Family::default(),
            crashes: Family::default(),
            suspicions: Family::default(),
            gates: Gates::default(),
            interference: Family::default(),
            limited_rounds: Counter::default(),
            takeovers: Counter::default(),
            leads: Gauge::default(),
            evacuations: Gauge::default(),
            evacuated_runs: Gauge::default(),
            uneven_targets: Gauge::default(),
            recovery_tasks: Gauge::default(),
            recovery_targets: Gauge::default(),
            write_time: histogram(),
            start_time: histogram(),
            record_time: histogram(),
            round_time: histogram(),
            read_time: histogram(),
        };
        let registry = &mut metrics.registry;
        registry.register("requests", "Requests of clients", metrics.requests.clone());
        registry.register("orders", "Orders to targets", metrics.orders.clone());
        registry.register("advice", "Requests for advice", metrics.advice.clone());
        registry.register(
            "releases",
            "Runs taken for ended without an end listed by their targets",
            metrics.releases.clone(),
        );
        registry.register("crashes", "Crashes of targets under tasks", metrics.crashes.clone());
        registry.register(
            "suspicions",
            "Targets suspected or cleared, and tasks taken for faulty",
            metrics.suspicions.clone(),
        );
        metrics.gates.register(registry);
        registry.register(
            "interference",
            "Runs with a latency goal and of backfill, and kinds of tasks that are known",
            metrics.interference.clone(),
        );
        registry.register(
            "limited_rounds",
            "Rounds that ended before all waiting steps were considered",
            metrics.limited_rounds.clone(),
        );
        registry.register("takeovers", "Takeovers of the lead", metrics.takeovers.clone());
        registry.register("leads", "Whether this node leads", metrics.leads.clone());
        registry.register("evacuations", "Evacuated data centres", metrics.evacuations.clone());
        registry.register(
            "evacuated_runs",
            "Runs left in evacuated data centres",
            metrics.evacuated_runs.clone(),
        );
        registry.register(
            "uneven_targets",
            "Targets that are usually faster or slower than the others",
            metrics.uneven_targets.clone(),
        );
        registry.register(
            "recovery_tasks",
            "Inherited tasks that wait for targets which have not listed their runs",
            metrics.recovery_tasks.clone(),
        );
        registry.register(
            "recovery_targets",
            "Targets for which inherited tasks wait",
            metrics.recovery_targets.clone(),
        );
        let times = [
            ("write", "Time to record what a client asks for", &metrics.write_time),
            ("start", "Time for the answer to a start", &metrics.start_time),
            ("record", "Time to record progress", &metrics.record_time),
            ("round", "Time of a round of decisions", &metrics.round_time),
            ("read", "Time to read what is recorded", &metrics.read_time),
        ];
        for (name, help, histogram) in times {
            registry.register(format!("{name}_seconds"), help, histogram.clone());
        }
        metrics
    }
}

impl Metrics {
    /// Returns all metrics in the OpenMetrics text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Increments a counter.
    pub(crate) fn count(
        family: &Family<Labels, Counter>,
        kind: &'static str,
        outcome: &'static str,
    ) {
        family.get_or_create(&Labels { kind, outcome }).inc();
    }

    /// Sets the numbers of tasks and targets in the recovery after a takeover.
    pub(crate) fn set_recovery(&self, tasks: u32, targets: usize) {
        self.recovery_tasks.set(tasks.into());
        self.recovery_targets.set(targets as i64);
    }

    /// Adds a duration to a histogram.
    pub(crate) fn observe(histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }
}

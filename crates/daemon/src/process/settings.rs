//! Settings of the daemon.

use std::{net::SocketAddr, path::Path, time::Duration};

use base::Level;
use quota::Digest;
use serde::{Deserialize, Serialize};

use crate::process::check::{self, SettingsError};

/// A `Settings` is everything a daemon is told when it starts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// The port towards callers and operators.
    pub callers: Callers,
    /// The port towards other instances.
    pub peers: Peers,
    /// The port of the metrics.
    pub metrics: Metrics,
    /// The platform.
    pub platform: Platform,
    /// Keys.
    pub keys: Keys,
    /// Logs.
    pub log: Log,
    /// Membership among the instances.
    pub membership: Membership,
    /// Leases on targets.
    pub targets: Targets,
    /// The record of jobs and calls.
    pub ledger: Ledger,
    /// How decisions are made.
    pub decisions: DecisionMode,
    /// Bounds on what is held at once.
    pub limits: Limits,
}

/// The port towards callers and operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Callers {
    /// Address to listen on.
    pub listen: String,
    /// Whether the port takes TLS.
    pub tls: TlsMode,
    /// File with the certificate chain, in PEM.
    pub certificate: String,
    /// File with the private key, in PEM.
    pub key: String,
}

/// The port towards other instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// Address to listen on.
    pub listen: String,
    /// Address that other instances dial; the one to listen on if empty.
    pub advertise: String,
    /// Whether the port takes mutual TLS.
    pub tls: TlsMode,
    /// File with the certificate chain, in PEM; its name must be `skylarkspan`.
    pub certificate: String,
    /// File with the private key, in PEM.
    pub key: String,
    /// File with the authority that signs all instances, in PEM.
    pub authority: String,
}

/// A `TlsMode` says whether a port takes TLS.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TlsMode {
    /// It takes nothing else.
    #[default]
    On,
    /// It takes plain connections.
    Off,
}

/// The port of the metrics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Metrics {
    /// Address to listen on; no port if empty.
    pub listen: String,
}

/// The platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Platform {
    /// Address of the key-value service and the list of instances.
    pub address: String,
    /// Time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time between readings of the list of instances, in milliseconds.
    pub list_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self { address: String::new(), timeout_ms: 1000, list_ms: 1000 }
    }
}

/// Keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Keys {
    /// Secret that all instances share, in hexadecimal digits; keys are stored
    /// as digests made with it.
    pub digest_secret: String,
    /// Digest of the first operator's key, in hexadecimal digits; none if
    /// empty.
    pub first_operator: String,
}

/// Logs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// LogFormat of the lines.
    pub form: LogFormat,
    /// Least level that is logged.
    pub level: Level,
}

/// A `LogFormat` is the form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For people.
    Human,
}

/// Membership among the instances.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// Time after which an instance that falls silent is no member, in
    /// milliseconds.
    pub ttl_ms: u64,
}

impl Default for Membership {
    fn default() -> Self {
        Self { ttl_ms: 3000 }
    }
}

/// Leases on targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Targets {
    /// Time after which a target that hears nothing of its owner stops what it
    /// runs, in milliseconds.
    pub lease_ms: u64,
    /// Difference of clocks' speed and delays that is allowed for, in
    /// milliseconds.
    pub margin_ms: u64,
    /// Time without an answer after which a target is silent, in milliseconds.
    pub silent_ms: u64,
    /// Time for which an owner without the key-value service goes on renewing
    /// leases, in milliseconds.
    pub isolated_ms: u64,
}

impl Default for Targets {
    fn default() -> Self {
        Self { lease_ms: 15_000, margin_ms: 1000, silent_ms: 3000, isolated_ms: 3_600_000 }
    }
}

/// The record of jobs and calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// Keys over which the jobs of a region are divided.
    pub pages: u32,
    /// Least time between two writes of one key, in milliseconds.
    pub flush_ms: u64,
    /// Time for which ended jobs are kept, in milliseconds.
    pub keep_ended_ms: u64,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { pages: 4, flush_ms: 50, keep_ended_ms: 600_000 }
    }
}

/// A `DecisionMode` is how decisions are made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionMode {
    /// By urgency, share and policy.
    #[default]
    Shares,
    /// In the order of arrival, at the first fit. For measurements only.
    Baseline,
}

/// Bounds on what is held at once.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Connections of callers and operators.
    pub connections: u32,
    /// Calls in flight.
    pub calls: u32,
    /// Largest request of a call, in bytes.
    pub request_bytes: u64,
    /// Jobs of a region that have not ended.
    pub jobs: u32,
    /// Time for which an instance that was told to stop goes on accepting, in
    /// milliseconds.
    pub linger_ms: u64,
    /// Time that a shutdown may take, in milliseconds.
    pub shutdown_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            calls: 2048,
            request_bytes: 1 << 20,
            jobs: 20_000,
            linger_ms: 5000,
            shutdown_ms: 30_000,
        }
    }
}

/// Times are at least this many milliseconds.
const LEAST_MS: u64 = 10;

/// Times are at most this many milliseconds.
const MOST_MS: u64 = 24 * 3_600_000;

/// Least number of bytes in the shared secret.
const LEAST_SECRET_BYTES: usize = 16;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Gets every fault that was found.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(vec![SettingsError::new(&file, "", error.to_string())]),
        }
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// Gets every fault that was found.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        let settings: Self = check::parse(file, text)?;
        let faults: Vec<_> = settings
            .faults()
            .into_iter()
            .map(|(key, what)| SettingsError::new(file, key, what))
            .collect();
        if faults.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// Gets the address that other instances dial.
    pub fn peer_address(&self) -> &str {
        if self.peers.advertise.is_empty() { &self.peers.listen } else { &self.peers.advertise }
    }

    /// Gets the time for which targets keep running without their owner.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.targets.lease_ms)
    }

    fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        let mut expect = |ok: bool, key, what: &str| {
            if !ok {
                faults.push((key, what.to_owned()));
            }
        };
        let is_name = |text: &str| {
            let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            !text.is_empty() && text.len() <= 64 && text.chars().all(plain)
        };
        let name_rule = "must be 1 to 64 letters, digits, `-`, `_` or `.`";
        expect(is_name(&self.name), "name", name_rule);
        expect(is_name(&self.region), "region", name_rule);
        expect(is_name(&self.data_centre), "data_centre", name_rule);

        let is_address = |text: &str| text.parse::<SocketAddr>().is_ok();
        let address_rule = "must be an IP number and a port, such as \"127.0.0.1:7000\"";
        expect(is_address(&self.callers.listen), "callers.listen", address_rule);
        expect(is_address(&self.peers.listen), "peers.listen", address_rule);
        expect(is_address(self.peer_address()), "peers.advertise", address_rule);
        let metrics = &self.metrics.listen;
        expect(metrics.is_empty() || is_address(metrics), "metrics.listen", address_rule);
        expect(is_address(&self.platform.address), "platform.address", address_rule);

        let file_rule = "must name a file unless tls is \"off\"";
        let needs = |mode: TlsMode, file: &str| mode == TlsMode::Off || !file.is_empty();
        let callers = &self.callers;
        expect(needs(callers.tls, &callers.certificate), "callers.certificate", file_rule);
        expect(needs(callers.tls, &callers.key), "callers.key", file_rule);
        let peers = &self.peers;
        expect(needs(peers.tls, &peers.certificate), "peers.certificate", file_rule);
        expect(needs(peers.tls, &peers.key), "peers.key", file_rule);
        expect(needs(peers.tls, &peers.authority), "peers.authority", file_rule);

        let secret = hex::decode(&self.keys.digest_secret).unwrap_or_default();
        expect(
            secret.len() >= LEAST_SECRET_BYTES,
            "keys.digest_secret",
            "must be at least 32 hexadecimal digits",
        );
        let first = &self.keys.first_operator;
        expect(
            first.is_empty() || Digest::from_hex(first).is_ok(),
            "keys.first_operator",
            "must be 64 hexadecimal digits, or empty",
        );

        let time_rule = format!("must be {LEAST_MS} to {MOST_MS} milliseconds");
        let times = [
            ("platform.timeout_ms", self.platform.timeout_ms),
            ("platform.list_ms", self.platform.list_ms),
            ("membership.ttl_ms", self.membership.ttl_ms),
            ("targets.lease_ms", self.targets.lease_ms),
            ("targets.margin_ms", self.targets.margin_ms),
            ("targets.silent_ms", self.targets.silent_ms),
            ("targets.isolated_ms", self.targets.isolated_ms),
            ("ledger.flush_ms", self.ledger.flush_ms),
            ("ledger.keep_ended_ms", self.ledger.keep_ended_ms),
            ("limits.linger_ms", self.limits.linger_ms),
            ("limits.shutdown_ms", self.limits.shutdown_ms),
        ];
        for (key, value) in times {
            expect((LEAST_MS..=MOST_MS).contains(&value), key, &time_rule);
        }
        expect(
            self.targets.lease_ms >= 2 * self.targets.silent_ms,
            "targets.lease_ms",
            "must be at least twice targets.silent_ms",
        );
        expect(
            self.targets.lease_ms >= 2 * self.membership.ttl_ms,
            "targets.lease_ms",
            "must be at least twice membership.ttl_ms, so that tasks outlive a change of owner",
        );
        expect((1..=64).contains(&self.ledger.pages), "ledger.pages", "must be 1 to 64");
        expect(self.limits.connections > 0, "limits.connections", "must be at least 1");
        expect(self.limits.calls > 0, "limits.calls", "must be at least 1");
        expect(self.limits.jobs > 0, "limits.jobs", "must be at least 1");
        expect(
            (1..=64 << 20).contains(&self.limits.request_bytes),
            "limits.request_bytes",
            "must be 1 to 67108864",
        );
        faults
    }
}

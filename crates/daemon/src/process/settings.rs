//! Settings of the daemon, read from its settings file.

use std::{net::SocketAddr, path::Path, time::Duration};

use base::Level;
use quota::Digest;
use serde::{Deserialize, Serialize};

use crate::process::check::{self, SettingsError};

/// Settings of a daemon. Field names are the keys of the settings file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Port for callers and operators.
    pub callers: Callers,
    /// Port for other instances.
    pub peers: Peers,
    /// Port of the metrics.
    pub metrics: Metrics,
    /// Platform services.
    pub platform: Platform,
    /// Keys of callers and operators.
    pub keys: Keys,
    /// Log output.
    pub log: Log,
    /// Membership of the instance.
    pub membership: Membership,
    /// Leases on targets.
    pub targets: Targets,
    /// Ledger of jobs and calls.
    pub ledger: Ledger,
    /// Order and policy of placement and routing.
    pub decisions: DecisionMode,
    /// Limits on connections, calls, jobs and shutdown.
    pub limits: Limits,
}

/// Port for callers and operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Callers {
    /// Address to listen on.
    pub listen: String,
    /// Whether the port requires TLS.
    pub tls: TlsMode,
    /// File with the certificate chain, in PEM.
    pub certificate: String,
    /// File with the private key, in PEM.
    pub key: String,
}

/// Port for other instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// Address to listen on.
    pub listen: String,
    /// Address that other instances dial; `listen` if empty.
    pub advertise: String,
    /// Whether the port requires mutual TLS.
    pub tls: TlsMode,
    /// File with the certificate chain, in PEM; the certificate's DNS name must
    /// be `skylarkspan`.
    pub certificate: String,
    /// File with the private key, in PEM.
    pub key: String,
    /// File with the authority that signs the certificates of all instances, in
    /// PEM.
    pub authority: String,
}

/// TLS mode of a port.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TlsMode {
    /// Only TLS connections are accepted.
    #[default]
    On,
    /// Only connections without TLS are accepted.
    Off,
}

/// Port of the metrics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Metrics {
    /// Address to listen on; no port if empty.
    pub listen: String,
}

/// Platform services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Platform {
    /// Address of the key-value service and the list of instances.
    pub address: String,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Poll interval of the list of instances, in milliseconds.
    pub list_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self { address: String::new(), timeout_ms: 1000, list_ms: 1000 }
    }
}

/// Keys of callers and operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Keys {
    /// Secret that all instances share, in hexadecimal digits; keys are stored
    /// as digests computed with this secret.
    pub digest_secret: String,
    /// Digest of the first operator's key, in hexadecimal digits; none if
    /// empty.
    pub first_operator: String,
}

/// Log output.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// Format of the lines.
    pub form: LogFormat,
    /// Minimum level that is logged.
    pub level: Level,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text.
    Human,
}

/// Membership of the instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// Lifetime of the membership lease, in milliseconds. An instance that does
    /// not renew the lease within this time is no longer a member.
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
    /// Lifetime of a lease, in milliseconds. A target whose lease is not
    /// renewed within this time stops its attempts.
    pub lease_ms: u64,
    /// Safety margin for differences in clock rate and for delays, in
    /// milliseconds.
    pub margin_ms: u64,
    /// Time without an answer after which a target counts as silent, in
    /// milliseconds.
    pub silent_ms: u64,
    /// Time for which an owner keeps renewing leases while the key-value
    /// service does not answer, in milliseconds.
    pub isolated_ms: u64,
}

impl Default for Targets {
    fn default() -> Self {
        Self { lease_ms: 15_000, margin_ms: 1000, silent_ms: 3000, isolated_ms: 3_600_000 }
    }
}

/// Ledger of jobs and calls.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Ledger {
    /// Number of keys over which the jobs of a region are divided.
    pub pages: u32,
    /// Minimum time between two writes of one key, in milliseconds.
    pub flush_ms: u64,
    /// Time for which ended jobs are kept, in milliseconds.
    pub keep_ended_ms: u64,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { pages: 4, flush_ms: 50, keep_ended_ms: 600_000 }
    }
}

/// Order and policy of placement and routing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionMode {
    /// By urgency, share and policy.
    #[default]
    Shares,
    /// In order of arrival, first fit; a baseline for measurements only.
    Baseline,
}

/// Limits on connections, calls, jobs and shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum number of connections of callers and operators.
    pub connections: u32,
    /// Maximum number of calls in flight.
    pub calls: u32,
    /// Maximum size of the request of a call, in bytes.
    pub request_bytes: u64,
    /// Maximum number of jobs of a region that have not ended.
    pub jobs: u32,
    /// Time for which an instance still accepts requests after the signal to
    /// stop, in milliseconds.
    pub linger_ms: u64,
    /// Timeout of the shutdown, in milliseconds.
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

/// Minimum of every setting that is a time.
const MIN_TIME_MS: u64 = 10;

/// Maximum of every setting that is a time: one day.
const MAX_TIME_MS: u64 = 24 * 3_600_000;

/// Minimum length of the shared secret.
const MIN_SECRET_BYTES: usize = 16;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns all errors found.
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
    /// Returns all errors found.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingsError>> {
        let settings: Self = check::parse(file, text)?;
        let errors: Vec<_> = settings
            .errors()
            .into_iter()
            .map(|(key, message)| SettingsError::new(file, key, message))
            .collect();
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }

    /// Returns the address that other instances dial.
    pub fn peer_address(&self) -> &str {
        if self.peers.advertise.is_empty() { &self.peers.listen } else { &self.peers.advertise }
    }

    /// Returns the lifetime of a target's lease, for which attempts continue
    /// without the owner.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.targets.lease_ms)
    }

    fn errors(&self) -> Vec<(&'static str, String)> {
        let mut errors = Vec::new();
        let mut expect = |ok: bool, key, message: &str| {
            if !ok {
                errors.push((key, message.to_owned()));
            }
        };
        let is_name = |text: &str| {
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            !text.is_empty() && text.len() <= 64 && text.chars().all(is_allowed)
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
        let has_file = |mode: TlsMode, file: &str| mode == TlsMode::Off || !file.is_empty();
        let callers = &self.callers;
        expect(has_file(callers.tls, &callers.certificate), "callers.certificate", file_rule);
        expect(has_file(callers.tls, &callers.key), "callers.key", file_rule);
        let peers = &self.peers;
        expect(has_file(peers.tls, &peers.certificate), "peers.certificate", file_rule);
        expect(has_file(peers.tls, &peers.key), "peers.key", file_rule);
        expect(has_file(peers.tls, &peers.authority), "peers.authority", file_rule);

        let secret = hex::decode(&self.keys.digest_secret).unwrap_or_default();
        expect(
            secret.len() >= MIN_SECRET_BYTES,
            "keys.digest_secret",
            "must be at least 32 hexadecimal digits",
        );
        let first = &self.keys.first_operator;
        expect(
            first.is_empty() || Digest::from_hex(first).is_ok(),
            "keys.first_operator",
            "must be 64 hexadecimal digits, or empty",
        );

        let time_rule = format!("must be {MIN_TIME_MS} to {MAX_TIME_MS} milliseconds");
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
            expect((MIN_TIME_MS..=MAX_TIME_MS).contains(&value), key, &time_rule);
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
        errors
    }
}

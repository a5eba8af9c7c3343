//! Sizes that follow from the limits of an instance.

use std::time::Duration;

use crate::settings;

/// Descriptors that are kept for files.
const FILE_FDS: usize = 200;

/// Share of the memory that connections may take. What is left after
/// [`HELD_SHARE`] is for the account of jobs and targets.
const CONNECTION_SHARE: f64 = 0.4;

/// Share of the memory that held requests may take: three quarters from clients
/// and a quarter from links, so that clients can't cut the links.
const HELD_SHARE: f64 = 0.2;

/// Receive buffer to be requested for each socket. The system doubles the size,
/// and received bytes count towards the memory of the process. A body of 256 KiB
/// takes 32 round trips.
pub const RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// Memory of a connection besides its read buffer: the receive buffer of the
/// system, and the task with the state of the protocol.
const CONNECTION_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES + (8 << 10);

/// Links that may be open: 96 other instances, and room for their new connections
/// while lost ones are not noticed yet.
const MAX_LINKS: usize = 128;

/// Connections to the readiness port, and to the metrics port.
const MAX_PROBES: usize = 32;

/// Size of the smallest read buffer of a connection.
const MIN_READ_BUFFER: usize = 8 << 10;

/// Port of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Port {
    /// Requests of clients.
    Clients,
    /// Readiness probes.
    Readiness,
    /// Metrics.
    Metrics,
    /// Links from other instances.
    Links,
}

impl Port {
    /// All ports.
    pub const ALL: [Self; 4] = [Self::Clients, Self::Readiness, Self::Metrics, Self::Links];

    /// Returns the name of the port in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Links => "links",
        }
    }
}

/// What the clients of a process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to the readiness port, and to the metrics port.
    pub probes: usize,
    /// Connections to the port for links.
    pub links: usize,
    /// Bytes of clients' requests that are held.
    pub held_bytes: usize,
    /// Part of `held_bytes` that callers without a valid key may use.
    pub keyless_bytes: usize,
    /// Bytes of links' messages that are held.
    pub link_bytes: usize,
    /// Size of the read buffer of a connection.
    pub read_buffer: usize,
    /// Time within which a head must be complete, and without progress after which
    /// a body is given up.
    pub head_timeout: Duration,
    /// Time within which a body must be complete, whatever its request allows.
    pub idle_timeout: Duration,
}

impl Budget {
    /// Derives the budget from the settings and the operators' limits on requests.
    pub fn new(limits: &settings::Limits, requests: &work::Limits) -> Self {
        let memory = limits.memory_mb.saturating_mul(1 << 20) as f64;
        // A head may have the full size, and hyper refuses a buffer that is full.
        let read_buffer = requests.max_header_bytes.saturating_add(1024).max(MIN_READ_BUFFER);
        let by_memory = (memory * CONNECTION_SHARE) as usize / (CONNECTION_BYTES + read_buffer);
        // The other half is for connections to the store, the targets and the
        // service that advises.
        let by_fds = limits.max_fds.saturating_sub(FILE_FDS) / 2;
        let connections = by_memory.min(by_fds).max(16);
        let links = MAX_LINKS.min(connections / 4);
        let probes = MAX_PROBES.min(connections / 16).max(4);
        let held = memory * HELD_SHARE;
        Self {
            // Links also have frames that wait to be sent, and count twice.
            clients: connections.saturating_sub(2 * links + 2 * probes).max(8),
            probes,
            links,
            held_bytes: (held * 0.75) as usize,
            keyless_bytes: (held * 0.5) as usize,
            link_bytes: (held * 0.25) as usize,
            read_buffer,
            head_timeout: Duration::from_millis(requests.header_timeout_ms),
            idle_timeout: Duration::from_millis(requests.idle_timeout_ms),
        }
    }

    /// Returns the number of connections that a port may have.
    pub fn connections(&self, port: Port) -> usize {
        match port {
            Port::Clients => self.clients,
            Port::Readiness | Port::Metrics => self.probes,
            Port::Links => self.links,
        }
    }
}

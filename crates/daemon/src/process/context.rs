//! State shared by all parts of the process.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base::{Name, Timer};
use platform::{Fleet, Instance};
use quota::{Digest, Digester};
use route::{Budget, Discipline, Limiter, Router};
use slog::Logger;
use target::{Connector, Link};
use tokio::sync::watch;

use crate::{
    connection::Peers,
    process::{Counters, DecisionMode, Member, MeteredStore, Settings},
    version::{Configs, Divisions, Placers},
};

/// Time without an answer from the key-value service after which an instance
/// that reaches no majority of the members refuses keys.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(4);

/// Connection over which calls are sent to a runner.
#[derive(Clone)]
pub struct RunnerHandle {
    /// Link to the runner.
    pub link: Arc<dyn Link>,
    /// Term in which the runner is owned.
    pub term: u64,
}

impl std::fmt::Debug for RunnerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunnerHandle").field("term", &self.term).finish_non_exhaustive()
    }
}

/// Instances that hold a membership lease.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Members by name.
    pub by_name: BTreeMap<Name, Member>,
    /// Time at which the members were last read completely, on the clock of
    /// [`Context::timer`].
    pub synced_at: Duration,
}

/// State shared by all parts of the process.
pub struct Context {
    /// Settings of the instance.
    pub settings: Settings,
    /// Name of the instance.
    pub name: Name,
    /// Random number drawn at each start of the process.
    pub incarnation: u64,
    /// Logger of the process.
    pub log: Logger,
    /// Monotonic clock, and the signal to stop.
    pub timer: Timer,
    /// Metrics of the process.
    pub counters: Counters,
    /// Client of the key-value service.
    pub store: MeteredStore,
    /// Client of the platform's list of instances.
    pub fleet: Arc<dyn Fleet>,
    /// Connector that opens links to targets.
    pub connector: Arc<dyn Connector>,
    /// Configuration in force.
    pub configs: Configs,
    /// Members, this instance included.
    pub members: watch::Sender<Arc<Members>>,
    /// Division of each region: its placer, and the owners of its runners.
    pub divisions: watch::Sender<Arc<Divisions>>,
    /// Instances in the platform's list at the last successful read.
    pub instances: watch::Sender<Arc<Vec<Instance>>>,
    /// Links to the other instances.
    pub peers: Peers,
    /// Router over the runners that this instance owns.
    pub router: Router<RunnerHandle>,
    /// Placers that run at this instance, by region.
    pub placers: Placers,
    /// Limiter of the calls in flight, by team.
    pub limiter: Limiter,
    /// Budget that bounds retries in proportion to calls.
    pub retry_budget: Budget,
    /// Whether the instance is draining before it stops.
    pub draining: watch::Sender<bool>,
    attempt_serial: AtomicU64,
}

impl Context {
    /// Creates the context, with no members, divisions or instances known.
    pub fn new(
        settings: Settings,
        log: Logger,
        counters: Counters,
        store: MeteredStore,
        timer: Timer,
        fleet: Arc<dyn Fleet>,
        connector: Arc<dyn Connector>,
    ) -> Self {
        let secret = hex::decode(&settings.keys.digest_secret).unwrap_or_default();
        let first = Digest::from_hex(&settings.keys.first_operator).ok();
        let discipline = match settings.decisions {
            DecisionMode::Shares => Discipline::Urgency,
            DecisionMode::Baseline => Discipline::Fifo,
        };
        Self {
            name: settings.name.as_str().into(),
            incarnation: getrandom::u64().expect("the system provides random bytes"),
            configs: Configs::new(Digester::new(&secret), first),
            members: watch::Sender::default(),
            divisions: watch::Sender::default(),
            instances: watch::Sender::default(),
            peers: Peers::default(),
            router: Router::new(timer.clone(), discipline),
            placers: Placers::default(),
            limiter: Limiter::default(),
            retry_budget: Budget::default(),
            draining: watch::Sender::new(false),
            attempt_serial: AtomicU64::new(0),
            settings,
            log,
            timer,
            counters,
            store,
            fleet,
            connector,
        }
    }

    /// Returns the description of this instance that the others read.
    pub fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            address: self.settings.peer_address().into(),
            region: self.settings.region.as_str().into(),
            data_centre: self.settings.data_centre.as_str().into(),
            incarnation: self.incarnation,
            draining: *self.draining.borrow(),
        }
    }

    /// Returns a new attempt id, unique across instances and restarts.
    pub fn next_attempt_id(&self) -> Name {
        let attempt_serial = self.attempt_serial.fetch_add(1, Ordering::Relaxed);
        format!("{}{attempt_serial}", self.attempt_id_prefix()).into()
    }

    /// Returns the prefix of all attempt ids of this process.
    pub fn attempt_id_prefix(&self) -> String {
        format!("{}-{:x}-", self.name, self.incarnation)
    }

    /// Returns whether the configuration in force is recent enough to check
    /// keys: either the key-value service has answered recently, or this
    /// instance and its linked peers are a majority of the members, so that a
    /// newer configuration would have arrived from one of them.
    pub fn is_config_confirmed(&self) -> bool {
        if self.store.age() < UNCONFIRMED_TIMEOUT {
            return true;
        }
        let members = self.members.borrow().by_name.len();
        let reached = self.peers.names().len() + 1;
        members > 1 && reached * 2 > members
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

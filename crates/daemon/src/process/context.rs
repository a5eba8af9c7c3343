//! What all parts of the process share.

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

/// Time without word from the key-value service after which an instance that
/// reaches no majority of its peers refuses keys.
const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(4);

/// A `RunnerHandle` is the way to send a call to a runner.
#[derive(Clone)]
pub struct RunnerHandle {
    /// The connection.
    pub link: Arc<dyn Link>,
    /// The term in which the runner is owned.
    pub term: u64,
}

impl std::fmt::Debug for RunnerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunnerHandle").field("term", &self.term).finish_non_exhaustive()
    }
}

/// A `Members` is the instances that hold a membership lease.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Members by name.
    pub by_name: BTreeMap<Name, Member>,
    /// When this view was last read as a whole.
    pub synced_at: Duration,
}

/// A `Context` is what all parts of the process share.
pub struct Context {
    /// The settings.
    pub settings: Settings,
    /// Name of the instance.
    pub name: Name,
    /// Random number of this run of the process.
    pub incarnation: u64,
    /// The log.
    pub log: Logger,
    /// The clock.
    pub timer: Timer,
    /// Everything that is counted.
    pub counters: Counters,
    /// The key-value service.
    pub store: MeteredStore,
    /// The platform's list.
    pub fleet: Arc<dyn Fleet>,
    /// Opens links to targets.
    pub connector: Arc<dyn Connector>,
    /// The configuration in force.
    pub configs: Configs,
    /// The other instances and this one.
    pub members: watch::Sender<Arc<Members>>,
    /// Who places and who routes in each region.
    pub divisions: watch::Sender<Arc<Divisions>>,
    /// The platform's list as last read.
    pub instances: watch::Sender<Arc<Vec<Instance>>>,
    /// Links to the other instances.
    pub peers: Peers,
    /// The runners that this instance owns.
    pub router: Router<RunnerHandle>,
    /// The regions that this instance places in.
    pub placers: Placers,
    /// Calls in flight by team.
    pub limiter: Limiter,
    /// The bound on retries.
    pub retry_budget: Budget,
    /// Whether the instance is about to leave.
    pub draining: watch::Sender<bool>,
    serial: AtomicU64,
}

impl Context {
    /// Puts the parts of a process together.
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
            incarnation: getrandom::u64().expect("the system has random bytes"),
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
            serial: AtomicU64::new(0),
            settings,
            log,
            timer,
            counters,
            store,
            fleet,
            connector,
        }
    }

    /// Gets what the instance tells the others of itself.
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

    /// Makes an id that no other attempt of any instance has.
    pub fn next_attempt_id(&self) -> Name {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        format!("{}{serial}", self.attempt_id_prefix()).into()
    }

    /// Gets the start of the ids of all attempts of this process.
    pub fn attempt_id_prefix(&self) -> String {
        format!("{}-{:x}-", self.name, self.incarnation)
    }

    /// Tells whether the configuration in force is known to be current enough
    /// to accept keys: the key-value service spoke lately, or it is silent but
    /// most of the instances can be reached, one of which would know more.
    pub fn is_config_confirmed(&self) -> bool {
        if self.store.age() < UNCONFIRMED_LIMIT {
            return true;
        }
        let members = self.members.borrow().by_name.len();
        let reached = self.peers.names().len() + 1;
        members > 1 && reached * 2 > members
    }

    /// Gets the wall clock in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

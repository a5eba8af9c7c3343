//! State shared by all parts of a node.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use base::Name;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
};

use crate::{
    configs::Configs,
    evacuations::EvacuationState,
    external::Services,
    intake::{Budget, Gate},
    link::Succession,
    metrics::Metrics,
    settings::Settings,
    states::States,
    uplink::Uplink,
};

/// Delay after which a client may repeat a request that was refused
/// temporarily.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Back-off before a failed request to the key-value service is repeated while
/// a client waits.
pub(crate) const RESEND_BACKOFF: Duration = Duration::from_millis(60);

/// Back-off of background tasks after a failed request.
pub(crate) const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Current leader of the cell, as recorded in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leader {
    /// Name of the instance.
    pub(crate) instance: Name,
    /// Address at which the leader accepts links, `host:port`.
    pub(crate) links: Name,
    /// Random number that identifies the leader's process.
    pub(crate) process: u64,
    /// Number of the leader's term, from 1.
    pub(crate) term: u64,
}

/// State shared by all parts of a node.
pub struct Context {
    /// Settings that the process was started with.
    pub settings: Settings,
    /// Logger of the process.
    pub log: Logger,
    /// External services.
    pub services: Services,
    /// Listener for links from other instances.
    pub(crate) links: TcpListener,
    /// Address of the links listener, `host:port`.
    pub(crate) links_address: Name,
    pub(crate) metrics: Metrics,
    /// Entry of all connections to this process.
    pub(crate) gate: Arc<Gate>,
    pub(crate) configs: Configs,
    pub(crate) evacuations: EvacuationState,
    pub(crate) states: States,
    pub(crate) uplink: Uplink,
    /// Whether the last write to the key-value service failed and no request
    /// has succeeded since.
    pub(crate) is_store_failing: AtomicBool,
    /// Current leader, as far as this node knows.
    pub(crate) leader: watch::Sender<Option<Leader>>,
    /// Notified when the leader asks for a successor.
    pub(crate) successor_requested: Notify,
    /// Handover received from the leader; `None` if there is none.
    pub(crate) succession: watch::Sender<Option<Succession>>,
    /// Whether the process is shutting down.
    pub(crate) stopping: watch::Sender<bool>,
    /// Whether new requests are no longer accepted.
    pub(crate) closing: watch::Sender<bool>,
    /// Random number that identifies this process.
    pub(crate) process: u64,
}

impl Context {
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        services: Services,
        links: TcpListener,
    ) -> Arc<Self> {
        let address = links.local_addr().map(|address| Name::from(address.to_string()));
        let links_address = address.unwrap_or_else(|_| Name::from(settings.links.as_str()));
        let process = getrandom::u64().unwrap_or_else(|_| base::clock::unix_ms());
        let metrics = Metrics::default();
        let budget = Budget::new(&settings.limits, &work::Limits::default());
        let gate = Gate::new(budget, metrics.gates.clone(), log.clone());
        Arc::new(Self {
            settings,
            log,
            services,
            links,
            links_address,
            metrics,
            gate,
            configs: Configs::default(),
            evacuations: EvacuationState::default(),
            states: States::default(),
            uplink: Uplink::default(),
            is_store_failing: AtomicBool::new(false),
            leader: watch::Sender::new(None),
            successor_requested: Notify::new(),
            succession: watch::Sender::new(None),
            stopping: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            process,
        })
    }

    /// Waits until the process starts to shut down.
    pub(crate) async fn stopped(&self) {
        // The sender lives in `self`, so the channel cannot be closed.
        let _ = self.stopping.subscribe().wait_for(|stopping| *stopping).await;
    }

    /// Returns whether this process is the leader, as far as this node knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader.borrow().as_ref().is_some_and(|leader| leader.process == self.process)
    }

    /// Returns what clients may use under the configuration in force.
    pub(crate) fn budget(&self) -> Budget {
        Budget::new(&self.settings.limits, &self.configs.current().limits)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Returns a random duration below `max`.
pub(crate) fn jitter(max: Duration) -> Duration {
    let random = getrandom::u32().unwrap_or(0);
    max * (random % 1024) / 1024
}

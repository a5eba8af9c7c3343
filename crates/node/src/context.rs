//! What all parts of a node share.

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
    configs::Configs, external::Services, link::Succession, metrics::Metrics, settings::Settings,
    states::States, uplink::Uplink,
};

/// Time after which a request that was refused for now may be repeated.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Pause before a request is sent again for a client who waits.
pub(crate) const RESEND_BACKOFF: Duration = Duration::from_millis(60);

/// Pause of what goes on for good after a failed request.
pub(crate) const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// A `Leader` is who leads the cell, as the key-value service has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Leader {
    /// Name of the instance.
    pub(crate) instance: Name,
    /// Where its links are accepted.
    pub(crate) links: Name,
    /// The process, as a random number.
    pub(crate) process: u64,
    /// Number of its term, from 1.
    pub(crate) term: u64,
}

/// A `Context` is what all parts of a node share.
pub struct Context {
    /// The settings that the process was started with.
    pub settings: Settings,
    /// The log.
    pub log: Logger,
    /// What lies outside.
    pub services: Services,
    /// The port towards other instances.
    pub(crate) links: TcpListener,
    /// Its address, `host:port`.
    pub(crate) links_address: Name,
    pub(crate) metrics: Metrics,
    pub(crate) configs: Configs,
    pub(crate) states: States,
    pub(crate) uplink: Uplink,
    /// Whether the last change of the key-value service failed, and nothing
    /// has succeeded since.
    pub(crate) is_store_failing: AtomicBool,
    /// Who leads, as far as this node knows.
    pub(crate) leader: watch::Sender<Option<Leader>>,
    /// Notified when the leader looks for a successor.
    pub(crate) successor_requested: Notify,
    /// The lead that this node is to take over.
    pub(crate) succession: watch::Sender<Option<Succession>>,
    /// Whether the process is to end.
    pub(crate) stopping: watch::Sender<bool>,
    /// Whether no new requests are to be taken.
    pub(crate) closing: watch::Sender<bool>,
    /// A random number that no other process has.
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
        Arc::new(Self {
            settings,
            log,
            services,
            links,
            links_address,
            metrics: Metrics::default(),
            configs: Configs::default(),
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

    /// Waits until the process is to end.
    pub(crate) async fn stopped(&self) {
        // The sender lives in `self`, so the channel can't be closed.
        let _ = self.stopping.subscribe().wait_for(|stopping| *stopping).await;
    }

    /// Tells whether this process leads, as far as it knows.
    pub(crate) fn is_leader(&self) -> bool {
        self.leader.borrow().as_ref().is_some_and(|leader| leader.process == self.process)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}

/// Gets a random time up to `most`.
pub(crate) fn jitter(max: Duration) -> Duration {
    let random = getrandom::u32().unwrap_or(0);
    max * (random % 1024) / 1024
}

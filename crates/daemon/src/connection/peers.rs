//! Links to the other instances.
//!
//! Each pair of instances has one link; the instance whose name sorts first
//! dials. A peer's last heartbeat is kept with its link and adjusted by this
//! instance's own forwards until the next one arrives.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use base::{Failure, Load, Name, Result, emit};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time,
};
use wire::{Frame, Heartbeat, PeerReply, PeerRequest, PeerResult};

use crate::{
    connection::link::{accept_link, dial_link},
    process::{Acceptor, Context, Dialer},
};

/// Limit on the frames queued for a link.
const MAX_QUEUED_FRAMES: usize = 8192;

/// Time after which a request to an unreachable peer may be retried.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time between attempts to dial a peer, and after a failed `accept`.
const DIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Item queued for a link.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// Frame without a reply.
    Frame(Frame),
    /// Request, and the sender for its reply.
    Request(PeerRequest, oneshot::Sender<PeerResult>),
}

#[derive(Debug)]
struct Peer {
    link_id: u64,
    sender: mpsc::Sender<Outgoing>,
    heartbeat: Heartbeat,
}

/// Links to the other instances, by name.
#[derive(Debug, Default)]
pub struct Peers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    links: HashMap<Name, Peer>,
    last_link_id: u64,
}

impl Peers {
    /// Returns the names of the linked instances.
    pub fn names(&self) -> Vec<Name> {
        self.lock().links.keys().cloned().collect()
    }

    /// Returns the last heartbeat of each linked instance.
    pub fn heartbeats(&self) -> Vec<(Name, Heartbeat)> {
        self.lock()
            .links
            .iter()
            .map(|(name, peer)| (name.clone(), peer.heartbeat.clone()))
            .collect()
    }

    /// Sends a request to a peer and waits for the reply.
    ///
    /// # Errors
    /// Fails without effect if the peer is not linked or its queue is full. If
    /// the link breaks or the timeout passes, the request may have run.
    pub async fn request(
        &self,
        name: &str,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply> {
        let (sender, receiver) = oneshot::channel();
        {
            let state = self.lock();
            let unreachable =
                || Failure::busy(RETRY_AFTER, format!("instance {name} can't be reached"));
            let peer = state.links.get(name).ok_or_else(unreachable)?;
            peer.sender.try_send(Outgoing::Request(request, sender)).map_err(|_| unreachable())?;
        }
        match time::timeout(timeout, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Failure::unknown(format!("the link to instance {name} broke"))),
            Err(_) => Err(Failure::unknown(format!("instance {name} did not answer in time"))),
        }
    }

    /// Returns the peer with the most free slots of a service; `None` if no
    /// peer has one. One slot counts as taken until the peer's next heartbeat.
    pub fn reserve_free_slot(&self, service: &str) -> Option<Name> {
        let mut state = self.lock();
        let free = |peer: &Peer| peer.heartbeat.loads.get(service).map_or(0, |load| load.free);
        let candidates =
            state.links.iter_mut().filter(|(_, p)| !p.heartbeat.draining && free(p) > 0);
        let (name, peer) = candidates.max_by_key(|(_, peer)| free(peer))?;
        if let Some(load) = peer.heartbeat.loads.get_mut(service) {
            load.free -= 1;
        }
        Some(name.clone())
    }

    /// Returns the peer with the fewest waiting calls per slot of a service, if
    /// that is below `max_queue_milli` thousandths. The call counts as waiting
    /// there until the peer's next heartbeat.
    pub fn reserve_queue_place(&self, service: &str, max_queue_milli: u64) -> Option<Name> {
        let mut state = self.lock();
        let queue_milli = |peer: &Peer| {
            peer.heartbeat.loads.get(service).map_or(u64::MAX, Load::waiting_per_slot_milli)
        };
        let candidates = state
            .links
            .iter_mut()
            .filter(|(_, p)| !p.heartbeat.draining && queue_milli(p) < max_queue_milli);
        let (name, peer) = candidates.min_by_key(|(_, peer)| queue_milli(peer))?;
        if let Some(load) = peer.heartbeat.loads.get_mut(service) {
            load.waiting += 1;
        }
        Some(name.clone())
    }

    /// Updates a peer's load of a service.
    pub fn update_load(&self, name: &str, service: &Name, load: Load) {
        if let Some(peer) = self.lock().links.get_mut(name) {
            peer.heartbeat.loads.insert(service.clone(), load);
        }
    }

    /// Counts a peer as having no slots of a service until its next load, so
    /// that calls are neither run nor queued there.
    pub fn mark_full(&self, name: &str, service: &str) {
        let mut state = self.lock();
        let load = state.links.get_mut(name).and_then(|peer| peer.heartbeat.loads.get_mut(service));
        if let Some(load) = load {
            *load = Load::default();
        }
    }

    /// Sends the configuration in force to the peers that have an older one.
    pub(crate) fn send_config(&self, ctx: &Context) {
        let active = ctx.configs.current();
        let version = active.config.version;
        for peer in self.lock().links.values() {
            if peer.heartbeat.version < version {
                let frame = Frame::Config { version, body: active.body.clone() };
                // A full queue is retried after the peer's next heartbeat.
                let _ = peer.sender.try_send(Outgoing::Frame(frame));
            }
        }
    }

    /// Registers a link; returns its number and the queue of items to send. An
    /// earlier link to that peer ends.
    pub(crate) fn register(&self, name: &Name) -> (u64, mpsc::Receiver<Outgoing>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let mut state = self.lock();
        state.last_link_id += 1;
        let link_id = state.last_link_id;
        state.links.insert(name.clone(), Peer { link_id, sender, heartbeat: Heartbeat::default() });
        (link_id, receiver)
    }

    /// Removes a link unless a newer one has replaced it.
    pub(crate) fn unregister(&self, name: &str, link_id: u64) {
        let mut state = self.lock();
        if state.links.get(name).is_some_and(|peer| peer.link_id == link_id) {
            state.links.remove(name);
        }
    }

    /// Stores a peer's heartbeat.
    pub(crate) fn update_heartbeat(&self, name: &str, heartbeat: Heartbeat) {
        if let Some(peer) = self.lock().links.get_mut(name) {
            peer.heartbeat = heartbeat;
        }
    }

    /// Queues a frame for a peer, waiting while the queue is full; `false` if
    /// there is no link.
    pub(crate) async fn send(&self, name: &str, frame: Frame) -> bool {
        let Some(sender) = self.lock().links.get(name).map(|peer| peer.sender.clone()) else {
            return false;
        };
        sender.send(Outgoing::Frame(frame)).await.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// Maintains a link to each member until the process stops. Of two instances,
/// the one whose name sorts first dials.
pub(crate) async fn maintain_links(ctx: Arc<Context>, dialer: Dialer) {
    let mut members = ctx.members.subscribe();
    let mut dialed: HashSet<Name> = HashSet::new();
    loop {
        let current = Arc::clone(&members.borrow_and_update());
        for name in current.by_name.keys().filter(|name| ctx.name < **name) {
            if dialed.insert(name.clone()) {
                tokio::spawn(maintain_link(Arc::clone(&ctx), dialer.clone(), name.clone()));
            }
        }
        tokio::select! {
            changed = members.changed() => if changed.is_err() { return },
            () = ctx.timer.stopped() => return,
        }
    }
}

/// Dials one peer whenever it is a member and not linked, until the process
/// stops.
async fn maintain_link(ctx: Arc<Context>, dialer: Dialer, name: Name) {
    loop {
        let member = ctx.members.borrow().by_name.get(&name).cloned();
        if let Some(member) = member {
            tokio::select! {
                () = dial_link(&ctx, &dialer, &member) => {}
                () = ctx.timer.stopped() => return,
            }
        }
        if !ctx.timer.sleep(DIAL_BACKOFF).await {
            return;
        }
    }
}

/// Accepts links from other instances until the process stops.
pub(crate) async fn serve_peers(ctx: Arc<Context>, listener: TcpListener, acceptor: Acceptor) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    emit!(ctx.log, warn, ListenerFailed; "port" => "peers", "reason" => %error);
                    time::sleep(DIAL_BACKOFF).await;
                    continue;
                }
            },
            () = ctx.timer.stopped() => return,
        };
        let ctx = Arc::clone(&ctx);
        let acceptor = acceptor.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = accept_link(&ctx, &acceptor, stream) => {}
                () = ctx.timer.stopped() => {}
            }
        });
    }
}

//! Links to the other instances.

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

/// Frames that may wait for a link.
const LINK_QUEUE: usize = 8192;

/// Time after which a request to a peer that can't be reached may be repeated.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time between attempts to reach a peer.
const DIAL_PAUSE: Duration = Duration::from_millis(200);

/// An `Outgoing` is what waits for a link.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// A frame to send.
    Frame(Frame),
    /// A request with the way to its answer.
    Request(PeerRequest, oneshot::Sender<PeerResult>),
}

#[derive(Debug)]
struct Peer {
    serial: u64,
    sender: mpsc::Sender<Outgoing>,
    beat: Heartbeat,
}

/// A `Peers` is the links to the other instances, by name.
#[derive(Debug, Default)]
pub struct Peers {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    links: HashMap<Name, Peer>,
    serial: u64,
}

impl Peers {
    /// Gets the names of the instances that are linked.
    pub fn names(&self) -> Vec<Name> {
        self.lock().links.keys().cloned().collect()
    }

    /// Gets the last summaries of all linked instances.
    pub fn heartbeats(&self) -> Vec<(Name, Heartbeat)> {
        self.lock().links.iter().map(|(name, peer)| (name.clone(), peer.beat.clone())).collect()
    }

    /// Sends a request to a peer and waits for its answer.
    ///
    /// # Errors
    /// Fails without effect if the peer isn't linked. If the link breaks or the
    /// time is over, the request may have run.
    pub async fn request(
        &self,
        name: &str,
        ask: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply> {
        let (sender, answer) = oneshot::channel();
        {
            let state = self.lock();
            let unreachable =
                || Failure::busy(RETRY_AFTER, format!("instance {name} can't be reached"));
            let peer = state.links.get(name).ok_or_else(unreachable)?;
            peer.sender.try_send(Outgoing::Request(ask, sender)).map_err(|_| unreachable())?;
        }
        match time::timeout(timeout, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Failure::unknown(format!("the link to instance {name} broke"))),
            Err(_) => Err(Failure::unknown(format!("instance {name} did not answer in time"))),
        }
    }

    /// Gets the peer with the most free slots of a service and counts one of
    /// them as taken until its next summary.
    pub fn reserve_free_slot(&self, service: &str) -> Option<Name> {
        let mut state = self.lock();
        let free = |peer: &Peer| peer.beat.loads.get(service).map_or(0, |load| load.free);
        let able = state.links.iter_mut().filter(|(_, p)| !p.beat.draining && free(p) > 0);
        let (name, peer) = able.max_by_key(|(_, peer)| free(peer))?;
        if let Some(load) = peer.beat.loads.get_mut(service) {
            load.free -= 1;
        }
        Some(name.clone())
    }

    /// Gets the peer at which a call of a service would wait the least, if that
    /// is less than `pressure`, and counts the call as waiting there until the
    /// peer's next summary.
    pub fn reserve_queue_place(&self, service: &str, pressure: u64) -> Option<Name> {
        let mut state = self.lock();
        let at = |peer: &Peer| {
            peer.beat.loads.get(service).map_or(u64::MAX, Load::waiting_per_slot_milli)
        };
        let able = state.links.iter_mut().filter(|(_, p)| !p.beat.draining && at(p) < pressure);
        let (name, peer) = able.min_by_key(|(_, peer)| at(peer))?;
        if let Some(load) = peer.beat.loads.get_mut(service) {
            load.waiting += 1;
        }
        Some(name.clone())
    }

    /// Takes note of how busy a peer is with a service.
    pub fn update_load(&self, name: &str, service: &Name, load: Load) {
        if let Some(peer) = self.lock().links.get_mut(name) {
            peer.beat.loads.insert(service.clone(), load);
        }
    }

    /// Counts a peer as without slots of a service, so that no call goes there
    /// to wait either, until more is heard.
    pub fn mark_full(&self, name: &str, service: &str) {
        let mut state = self.lock();
        let load = state.links.get_mut(name).and_then(|peer| peer.beat.loads.get_mut(service));
        if let Some(load) = load {
            *load = Load::default();
        }
    }

    /// Sends the configuration in force to the peers that lack it.
    pub(crate) fn send_config(&self, ctx: &Context) {
        let active = ctx.configs.current();
        let version = active.config.version;
        for peer in self.lock().links.values() {
            if peer.beat.version < version {
                let frame = Frame::Config { version, body: active.body.clone() };
                // A link that is full gets it with its next summary.
                let _ = peer.sender.try_send(Outgoing::Frame(frame));
            }
        }
    }

    /// Enters a link; gets its number and what is to be sent on it. An earlier
    /// link to the same peer ends.
    pub(crate) fn register(&self, name: &Name) -> (u64, mpsc::Receiver<Outgoing>) {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        let mut state = self.lock();
        state.serial += 1;
        let serial = state.serial;
        state.links.insert(name.clone(), Peer { serial, sender, beat: Heartbeat::default() });
        (serial, receiver)
    }

    /// Forgets a link unless a later one took its place.
    pub(crate) fn unregister(&self, name: &str, serial: u64) {
        let mut state = self.lock();
        if state.links.get(name).is_some_and(|peer| peer.serial == serial) {
            state.links.remove(name);
        }
    }

    /// Takes in a peer's summary.
    pub(crate) fn update_heartbeat(&self, name: &str, beat: Heartbeat) {
        if let Some(peer) = self.lock().links.get_mut(name) {
            peer.beat = beat;
        }
    }

    /// Queues a frame for a peer; `false` if there is no room or no link.
    pub(crate) async fn send(&self, name: &str, frame: Frame) -> bool {
        let Some(sender) = self.lock().links.get(name).map(|peer| peer.sender.clone()) else {
            return false;
        };
        sender.send(Outgoing::Frame(frame)).await.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Keeps a link to each member. Of two instances the one whose name comes
/// first dials.
pub(crate) async fn maintain_links(ctx: Arc<Context>, dialer: Dialer) {
    let mut members = ctx.members.subscribe();
    let mut dialed: HashSet<Name> = HashSet::new();
    loop {
        let current = Arc::clone(&members.borrow_and_update());
        for name in current.by_name.keys().filter(|name| ctx.name < **name) {
            if dialed.insert(name.clone()) {
                tokio::spawn(keep_link(Arc::clone(&ctx), dialer.clone(), name.clone()));
            }
        }
        tokio::select! {
            changed = members.changed() => if changed.is_err() { return },
            () = ctx.timer.stopped() => return,
        }
    }
}

/// Dials one peer over and over while it is a member.
async fn keep_link(ctx: Arc<Context>, dialer: Dialer, name: Name) {
    loop {
        let member = ctx.members.borrow().by_name.get(&name).cloned();
        if let Some(member) = member {
            tokio::select! {
                () = dial_link(&ctx, &dialer, &member) => {}
                () = ctx.timer.stopped() => return,
            }
        }
        if !ctx.timer.sleep(DIAL_PAUSE).await {
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
                    time::sleep(DIAL_PAUSE).await;
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

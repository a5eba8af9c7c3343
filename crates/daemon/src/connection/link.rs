//! Link to another instance: CBOR frames in WebSocket messages.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Name, emit};
use futures::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{Semaphore, mpsc, oneshot},
    time,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use wire::{Frame, Heartbeat, PeerResult};

use crate::{
    connection::{peers::Outgoing, watch::apply_config},
    process::{Acceptor, Context, Dialer, Io, Member},
    request::handle_peer_request,
};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a received frame, and limit on a write, after which a link is
/// considered broken.
const LINK_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on opening a link, handshakes included.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the size of a frame.
const MAX_FRAME_BYTES: usize = 80 << 20;

/// Limit on the requests of one peer that are processed concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 1024;

/// Limit on the frames written between two flushes.
const MAX_FRAMES_PER_FLUSH: usize = 64;

type Socket = WebSocketStream<Box<dyn Io>>;

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Dials a peer and serves the link until the link breaks or is replaced.
pub(crate) async fn dial_link(ctx: &Arc<Context>, dialer: &Dialer, member: &Member) {
    let open = async {
        let io = dialer.dial(&member.address).await.ok()?;
        let url = format!("ws://{}/", member.address);
        let (mut socket, _) =
            client_async_with_config(url, io, Some(socket_config())).await.ok()?;
        send(&mut socket, &hello(ctx)).await?;
        let name = read_hello(&mut socket).await?;
        // The address may meanwhile belong to another instance.
        (name == member.name).then_some(socket)
    };
    if let Ok(Some(socket)) = time::timeout(OPEN_TIMEOUT, open).await {
        serve(ctx, socket, &member.name).await;
    }
}

/// Accepts a link and serves it until the link breaks or is replaced.
pub(crate) async fn accept_link(ctx: &Arc<Context>, acceptor: &Acceptor, stream: TcpStream) {
    let open = async {
        stream.set_nodelay(true).ok()?;
        let io = acceptor.accept(stream).await.ok()?;
        let mut socket = accept_async_with_config(io, Some(socket_config())).await.ok()?;
        let name = read_hello(&mut socket).await?;
        send(&mut socket, &hello(ctx)).await?;
        Some((socket, name))
    };
    if let Ok(Some((socket, name))) = time::timeout(OPEN_TIMEOUT, open).await {
        serve(ctx, socket, &name).await;
    }
}

fn hello(ctx: &Context) -> Frame {
    Frame::Hello { instance: ctx.name.clone() }
}

async fn read_hello(socket: &mut Socket) -> Option<Name> {
    match read(socket).await? {
        Frame::Hello { instance } => Some(instance),
        _ => None,
    }
}

async fn serve(ctx: &Arc<Context>, socket: Socket, name: &Name) {
    let (link_id, outgoing) = ctx.peers.register(name);
    emit!(ctx.log, info, PeerConnected; "peer" => %name);
    let link = Link {
        ctx,
        name,
        socket,
        pending: HashMap::new(),
        last_request_id: 0,
        request_slots: Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS)),
    };
    link.run(outgoing).await;
    ctx.peers.unregister(name, link_id);
    emit!(ctx.log, warn, PeerDisconnected; "peer" => %name);
}

struct Link<'a> {
    ctx: &'a Arc<Context>,
    name: &'a Name,
    socket: Socket,
    /// Requests sent on this link that wait for a reply, by id. When the link
    /// ends, the senders are dropped, which reports each request as possibly
    /// run.
    pending: HashMap<u64, oneshot::Sender<PeerResult>>,
    last_request_id: u64,
    request_slots: Arc<Semaphore>,
}

impl Link<'_> {
    async fn run(mut self, mut outgoing: mpsc::Receiver<Outgoing>) {
        let mut ticks = self.ctx.timer.every(HEARTBEAT_INTERVAL);
        let mut config_changes = self.ctx.configs.subscribe();
        let mut last_frame_at = Instant::now();
        loop {
            tokio::select! {
                frame = read(&mut self.socket) => {
                    let Some(frame) = frame else { return };
                    last_frame_at = Instant::now();
                    self.handle(frame).await;
                }
                item = outgoing.recv() => {
                    // A newer link to the peer has replaced this one.
                    let Some(item) = item else { return };
                    if self.write(item, &mut outgoing).await.is_none() {
                        return;
                    }
                }
                // A change of the configuration waits until the peers report it
                // in force, so the new version is sent at once.
                Ok(()) = config_changes.changed() => {
                    config_changes.borrow_and_update();
                    let heartbeat = Outgoing::Frame(Frame::Heartbeat(heartbeat(self.ctx)));
                    if self.write(heartbeat, &mut outgoing).await.is_none() {
                        return;
                    }
                }
                tick = ticks.next() => {
                    if tick.is_none() || last_frame_at.elapsed() > LINK_TIMEOUT {
                        return;
                    }
                    let heartbeat = Outgoing::Frame(Frame::Heartbeat(heartbeat(self.ctx)));
                    if self.write(heartbeat, &mut outgoing).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    /// Writes an item and further queued ones, then flushes; `None` if the link
    /// broke.
    async fn write(
        &mut self,
        first: Outgoing,
        outgoing: &mut mpsc::Receiver<Outgoing>,
    ) -> Option<()> {
        let mut next = Some(first);
        let write = async {
            for _ in 0..MAX_FRAMES_PER_FLUSH {
                let Some(item) = next.take().or_else(|| outgoing.try_recv().ok()) else {
                    break;
                };
                let frame = match item {
                    Outgoing::Frame(frame) => frame,
                    Outgoing::Request(request, sender) => {
                        self.last_request_id += 1;
                        self.pending.retain(|_, waiting| !waiting.is_closed());
                        self.pending.insert(self.last_request_id, sender);
                        Frame::Request { id: self.last_request_id, ask: request }
                    }
                };
                let bytes = frame.encode();
                self.ctx.counters.peer_bytes.inc_by(bytes.len() as u64);
                self.socket.feed(Message::Binary(bytes)).await.ok()?;
            }
            self.socket.flush().await.ok()
        };
        // A peer that stops reading is treated as disconnected.
        time::timeout(LINK_TIMEOUT, write).await.ok()?
    }

    async fn handle(&mut self, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat(heartbeat) => {
                let is_outdated = heartbeat.version < self.ctx.configs.version();
                self.ctx.peers.update_heartbeat(self.name, heartbeat);
                if is_outdated {
                    self.ctx.peers.send_config(self.ctx);
                }
            }
            Frame::Config { body, .. } => apply_config(self.ctx, body),
            Frame::Reply { id, answer } => {
                if let Some(sender) = self.pending.remove(&id) {
                    let _ = sender.send(answer);
                }
            }
            Frame::Request { id, ask: request } => {
                let ctx = Arc::clone(self.ctx);
                let name = self.name.clone();
                let slots = Arc::clone(&self.request_slots);
                tokio::spawn(async move {
                    let _permit = slots.acquire_owned().await;
                    let answer = handle_peer_request(&ctx, request).await;
                    ctx.peers.send(&name, Frame::Reply { id, answer }).await;
                });
            }
        }
    }
}

/// Returns the heartbeat that describes this instance.
fn heartbeat(ctx: &Context) -> Heartbeat {
    Heartbeat {
        version: ctx.configs.version(),
        store_age_ms: ctx.store.age().as_millis() as u64,
        loads: ctx.router.loads(),
        draining: *ctx.draining.borrow(),
    }
}

async fn send(socket: &mut Socket, frame: &Frame) -> Option<()> {
    socket.send(Message::Binary(frame.encode())).await.ok()
}

/// Reads the next frame; `None` if the link broke or a message is malformed.
async fn read(socket: &mut Socket) -> Option<Frame> {
    loop {
        match socket.next().await?.ok()? {
            Message::Binary(bytes) => return Frame::decode(&bytes).ok(),
            Message::Close(_) => return None,
            _ => {}
        }
    }
}

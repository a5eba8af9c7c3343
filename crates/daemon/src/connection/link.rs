//! One link to another instance: CBOR frames over WebSocket messages.

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
    request::answer,
};

/// Time between summaries.
const BEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time without any frame after which a link is silent.
const SILENCE: Duration = Duration::from_secs(2);

/// Time to open a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest frame, in bytes.
const LARGEST_FRAME_BYTES: usize = 80 << 20;

/// Requests of one peer that are worked on at once.
const REQUESTS_AT_ONCE: usize = 1024;

/// Frames that are sent before the link is flushed.
const FRAMES_PER_FLUSH: usize = 64;

type Socket = WebSocketStream<Box<dyn Io>>;

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(LARGEST_FRAME_BYTES))
        .max_frame_size(Some(LARGEST_FRAME_BYTES))
}

/// Dials a peer and serves the link until it breaks.
pub(crate) async fn dial_link(ctx: &Arc<Context>, dialer: &Dialer, member: &Member) {
    let open = async {
        let io = dialer.dial(&member.address).await.ok()?;
        let url = format!("ws://{}/", member.address);
        let (mut socket, _) =
            client_async_with_config(url, io, Some(socket_config())).await.ok()?;
        send(&mut socket, &hello(ctx)).await?;
        let name = read_hello(&mut socket).await?;
        // Another instance may have the address by now.
        (name == member.name).then_some(socket)
    };
    if let Ok(Some(socket)) = time::timeout(OPEN_TIMEOUT, open).await {
        serve(ctx, socket, &member.name).await;
    }
}

/// Accepts a link and serves it until it breaks.
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
    let (serial, outgoing) = ctx.peers.register(name);
    emit!(ctx.log, info, PeerConnected; "peer" => %name);
    let link = Link {
        ctx,
        name,
        socket,
        pending: HashMap::new(),
        serial: 0,
        requests: Arc::new(Semaphore::new(REQUESTS_AT_ONCE)),
    };
    link.run(outgoing).await;
    ctx.peers.unregister(name, serial);
    emit!(ctx.log, warn, PeerDisconnected; "peer" => %name);
}

struct Link<'a> {
    ctx: &'a Arc<Context>,
    name: &'a Name,
    socket: Socket,
    /// Requests of ours that wait for an answer. When the link ends, those who
    /// wait learn that their requests may have run.
    pending: HashMap<u64, oneshot::Sender<PeerResult>>,
    serial: u64,
    requests: Arc<Semaphore>,
}

impl Link<'_> {
    async fn run(mut self, mut outgoing: mpsc::Receiver<Outgoing>) {
        let mut ticks = self.ctx.timer.every(BEAT_PERIOD);
        let mut versions = self.ctx.configs.subscribe();
        let mut heard_at = Instant::now();
        loop {
            tokio::select! {
                frame = read(&mut self.socket) => {
                    let Some(frame) = frame else { return };
                    heard_at = Instant::now();
                    self.take(frame).await;
                }
                item = outgoing.recv() => {
                    // A later link took this one's place.
                    let Some(item) = item else { return };
                    if self.write(item, &mut outgoing).await.is_none() {
                        return;
                    }
                }
                // Operators wait to hear what is in force.
                Ok(()) = versions.changed() => {
                    versions.borrow_and_update();
                    let beat = Outgoing::Frame(Frame::Heartbeat(beat(self.ctx)));
                    if self.write(beat, &mut outgoing).await.is_none() {
                        return;
                    }
                }
                tick = ticks.next() => {
                    if tick.is_none() || heard_at.elapsed() > SILENCE {
                        return;
                    }
                    let beat = Outgoing::Frame(Frame::Heartbeat(beat(self.ctx)));
                    if self.write(beat, &mut outgoing).await.is_none() {
                        return;
                    }
                }
            }
        }
    }

    /// Writes an item and those that wait behind it; `None` if the link broke.
    async fn write(
        &mut self,
        first: Outgoing,
        outgoing: &mut mpsc::Receiver<Outgoing>,
    ) -> Option<()> {
        let mut next = Some(first);
        let write = async {
            for _ in 0..FRAMES_PER_FLUSH {
                let Some(item) = next.take().or_else(|| outgoing.try_recv().ok()) else {
                    break;
                };
                let frame = match item {
                    Outgoing::Frame(frame) => frame,
                    Outgoing::Request(ask, sender) => {
                        self.serial += 1;
                        self.pending.retain(|_, waiting| !waiting.is_closed());
                        self.pending.insert(self.serial, sender);
                        Frame::Request { id: self.serial, ask }
                    }
                };
                let bytes = frame.encode();
                self.ctx.counters.peer_bytes.inc_by(bytes.len() as u64);
                self.socket.feed(Message::Binary(bytes)).await.ok()?;
            }
            self.socket.flush().await.ok()
        };
        // A peer that takes nothing in is as good as gone.
        time::timeout(SILENCE, write).await.ok()?
    }

    async fn take(&mut self, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat(beat) => {
                let lacks = beat.version < self.ctx.configs.version();
                self.ctx.peers.update_heartbeat(self.name, beat);
                if lacks {
                    self.ctx.peers.send_config(self.ctx);
                }
            }
            Frame::Config { body, .. } => apply_config(self.ctx, body),
            Frame::Reply { id, answer } => {
                if let Some(sender) = self.pending.remove(&id) {
                    let _ = sender.send(answer);
                }
            }
            Frame::Request { id, ask } => {
                let ctx = Arc::clone(self.ctx);
                let name = self.name.clone();
                let requests = Arc::clone(&self.requests);
                tokio::spawn(async move {
                    let _permit = requests.acquire_owned().await;
                    let answer = answer(&ctx, ask).await;
                    ctx.peers.send(&name, Frame::Reply { id, answer }).await;
                });
            }
        }
    }
}

/// Makes the summary of this instance.
fn beat(ctx: &Context) -> Heartbeat {
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

/// Reads the next frame; `None` if the link broke or bytes are no frame.
async fn read(socket: &mut Socket) -> Option<Frame> {
    loop {
        match socket.next().await?.ok()? {
            Message::Binary(bytes) => return Frame::decode(&bytes).ok(),
            Message::Close(_) => return None,
            _ => {}
        }
    }
}

//! Links from the nodes to the leader, in CBOR over WebSocket messages.

use std::{collections::HashSet, sync::Arc, time::Duration};

use base::{Failure, Name, emit};
use futures::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use plan::SpeedRecord;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    sync::mpsc,
    time,
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message, protocol::WebSocketConfig},
};
use work::{JobState, Spec, StepKey, TaskKey};

use crate::{
    context::Context,
    follower,
    intake::{Metered, Port},
    listen,
};

/// Interval between heartbeats on a link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Time without a frame after which a link is closed, and time limit for
/// opening a link.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);

/// Time limit for sending a frame. A peer that doesn't read would otherwise let
/// frames pile up in memory. The largest first frames take about a second on a link
/// of ten megabits per second.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the read buffer of an accepted link. The default of 128 KiB would be
/// most of the memory of a link.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Size of a message from a node besides the job in it.
const MESSAGE_MARGIN_BYTES: usize = 64 << 10;

/// Back-off before a failed link is dialled again.
const DIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Sending side of a link.
type FrameSink<T> = SplitSink<WebSocketStream<T>, Message>;

/// Frame sent by the leader to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LeaderFrame {
    /// States of changed jobs, or of all jobs after the link has opened.
    States(Vec<(Name, JobState)>),
    /// Status of the queues.
    Queues(QueueStatus),
    /// Request to ask the advice service which targets may run a step.
    Advise {
        /// Number of the request.
        number: u64,
        /// Step to be run.
        step: StepKey,
        /// Targets to ask about.
        targets: Vec<Name>,
        /// Time to wait for the answer, in milliseconds.
        timeout_ms: u64,
    },
    /// Request for a successor, because the leader may be unable to continue or
    /// is about to end. Nodes that can lead reply with [`PeerFrame::CanLead`].
    #[serde(rename = "Doubt")]
    FindSuccessor,
    /// Handover: the leader has stopped, and the receiver must take the
    /// leadership at once.
    Succeed(Succession),
    /// Outcome of a [`PeerFrame::Submit`] or [`PeerFrame::Cancel`].
    Written {
        /// Number of the request.
        number: u64,
        /// Success if the write was recorded, else the failure.
        outcome: Result<(), Failure>,
    },
    /// Frame without content that keeps the link open.
    #[serde(rename = "Pulse")]
    Heartbeat,
}

/// Status of all queues.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct QueueStatus {
    /// Number of jobs of which no task has started, by queue.
    pub(crate) pending: Vec<(Name, u32)>,
    /// Queues that refuse new jobs for now, each with the delay after which the
    /// queue would accept jobs again, in milliseconds.
    pub(crate) refusing: Vec<(Name, u64)>,
    /// Data centres of the targets of each pool; empty if there are no evacuations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) pools: Vec<(Name, Vec<Name>)>,
}

/// State that the leader hands over to its successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Succession {
    /// Revision of the leader key.
    pub(crate) revision: u64,
    /// Targets that do not answer, each with all runs that may be on it.
    #[serde(rename = "silent")]
    pub(crate) unreachable_targets: Vec<(Name, Vec<(TaskKey, u32)>)>,
    /// Targets whose lease may be longer than was granted. The last record of them
    /// may have failed.
    #[serde(default)]
    pub(crate) restarted: HashSet<Name>,
    /// Targets with an unconfirmed process.
    #[serde(default)]
    pub(crate) unconfirmed: HashSet<Name>,
    /// Usual speeds of the targets; `None` from a peer that doesn't send them.
    #[serde(default)]
    pub(crate) speeds: Option<SpeedRecord>,
    /// What is known of the held targets.
    #[serde(default)]
    pub(crate) holdings: Vec<Holding>,
    /// Jobs of which the holdings name all runs.
    #[serde(default)]
    pub(crate) known_jobs: Vec<Name>,
}

/// What a leader knows of a held target when it hands over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Holding {
    /// Name of the target.
    pub(crate) target: Name,
    /// All runs that may be on the target; `None` if some are unknown.
    pub(crate) runs: Option<Vec<(TaskKey, u32)>>,
    /// All runs of the known jobs that may be on the target, if others are unknown.
    #[serde(default)]
    pub(crate) known_runs: Option<Vec<(TaskKey, u32)>>,
    /// Jobs with ends on the target that are not recorded.
    pub(crate) ended_jobs: Vec<Name>,
    /// Time after which all leases of the target have expired, in milliseconds.
    pub(crate) lapse_left_ms: u64,
    /// Time since the last order that may have been sent to the target, in
    /// milliseconds.
    pub(crate) order_age_ms: u64,
}

impl Holding {
    /// Returns the number of runs that are named.
    pub(crate) fn run_count(&self) -> usize {
        [&self.runs, &self.known_runs].into_iter().flatten().map(Vec::len).sum()
    }
}

impl From<plan::Holding> for Holding {
    fn from(known: plan::Holding) -> Self {
        Self {
            target: known.target,
            runs: known.runs,
            known_runs: known.known_runs,
            ended_jobs: known.ended_jobs,
            // Rounded up, as a wait must not be too short.
            lapse_left_ms: known.lapse_left.as_millis() as u64 + 1,
            order_age_ms: known.order_age.as_millis() as u64,
        }
    }
}

impl From<Holding> for plan::Holding {
    fn from(handed_over: Holding) -> Self {
        Self {
            target: handed_over.target,
            runs: handed_over.runs,
            known_runs: handed_over.known_runs,
            ended_jobs: handed_over.ended_jobs,
            lapse_left: Duration::from_millis(handed_over.lapse_left_ms),
            order_age: Duration::from_millis(handed_over.order_age_ms),
        }
    }
}

/// Frame sent by a node to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerFrame {
    /// First frame on a link.
    Hello {
        /// Name of the sending instance.
        instance: Name,
        /// Capacity of the instance, in thousandths of a core; a slow network link
        /// reduces the value.
        strength_milli: u32,
    },
    /// Answer to [`LeaderFrame::Advise`].
    Advised {
        /// Number of the request.
        number: u64,
        /// Permitted targets, each with its ticket; `Err` holds the reason why
        /// there is no answer.
        allowed: Result<Vec<(Name, Name)>, String>,
        /// Time for which the tickets are valid, in milliseconds; `None` if
        /// unknown.
        valid_ms: Option<u64>,
    },
    /// The sender can reach the key-value service and is ready to take the
    /// leadership.
    CanLead,
    /// Notice of a job that the sender has recorded.
    Accepted(Name, Box<Spec>),
    /// Notice of a cancellation that the sender has recorded.
    Cancelled(Name),
    /// Request to record a job, sent when the sender's own write failed.
    Submit {
        /// Number of the request.
        number: u64,
        /// Id of the job.
        id: Name,
        /// Job to record.
        spec: Box<Spec>,
    },
    /// Request to record a cancellation, sent when the sender's own write
    /// failed.
    Cancel {
        /// Number of the request.
        number: u64,
        /// Id of the job.
        id: Name,
    },
    /// Frame without content that keeps the link open.
    #[serde(rename = "Pulse")]
    Heartbeat,
}

/// Leader's end of an open link to a node.
#[derive(Debug)]
pub(crate) struct PeerLink {
    /// Name of the node's instance.
    pub(crate) instance: Name,
    /// Capacity of the instance, in thousandths of a core; a slow network link
    /// reduces the value.
    pub(crate) strength_milli: u32,
    /// Frames to the node.
    pub(crate) sender: mpsc::UnboundedSender<LeaderFrame>,
    /// Frames from the node.
    pub(crate) receiver: mpsc::UnboundedReceiver<PeerFrame>,
}

/// Keeps a link to the current leader until the process ends.
pub(crate) async fn maintain_link(ctx: Arc<Context>) {
    let mut leaders = ctx.leader.subscribe();
    loop {
        let leader = leaders.borrow_and_update().clone();
        let Some(leader) = leader.filter(|leader| leader.process != ctx.process) else {
            let _ = leaders.changed().await;
            continue;
        };
        let reason = tokio::select! {
            reason = dial(&ctx, &leader.links) => reason,
            _ = leaders.changed() => continue,
        };
        emit!(ctx.log, warn, LinkLost; "leader" => %leader.instance, "why" => reason);
        time::sleep(DIAL_BACKOFF).await;
    }
}

/// Opens a link and serves it until it fails. Returns the reason of the
/// failure.
async fn dial(ctx: &Arc<Context>, address: &str) -> String {
    let connect = async {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let url = format!("ws://{address}/");
        let (socket, _) = tokio_tungstenite::client_async(url, stream)
            .await
            .map_err(|error| error.to_string())?;
        Ok::<_, String>(socket)
    };
    let socket = match time::timeout(SILENCE_TIMEOUT, connect).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return error,
        Err(_) => return "no connection in time".to_owned(),
    };
    emit!(ctx.log, info, LinkOpened; "address" => address);
    let (to_leader, outgoing) = mpsc::unbounded_channel();
    let (from_leader, leader_frames) = mpsc::unbounded_channel();
    let instance = Name::from(ctx.settings.name.as_str());
    // Sending cannot fail, because `outgoing` is used by the exchange below.
    let strength_milli = ctx.settings.strength_milli();
    let _ = to_leader.send(PeerFrame::Hello { instance, strength_milli });
    let _connection = ctx.uplink.open(to_leader.clone());
    tokio::select! {
        reason = exchange(socket, outgoing, PeerFrame::Heartbeat, from_leader, || ()) => reason,
        () = follower::handle_frames(ctx, leader_frames, to_leader) => "closed".to_owned(),
    }
}

/// Accepts links while this node leads, and sends an entry to `joined` for each
/// node that connects.
pub(crate) async fn accept_links(ctx: Arc<Context>, joined: mpsc::UnboundedSender<PeerLink>) {
    loop {
        let stream = listen::accept(&ctx.links, &ctx.gate, Port::Links).await;
        let pass = Arc::clone(stream.pass());
        let link = accept_link(Arc::clone(&ctx), stream, joined.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = link => {}
                () = pass.closed() => {}
            }
        });
    }
}

async fn accept_link(
    ctx: Arc<Context>,
    stream: Metered<TcpStream>,
    joined: mpsc::UnboundedSender<PeerLink>,
) {
    let pass = Arc::clone(stream.pass());
    let max_bytes = ctx.settings.limits.job_bytes + MESSAGE_MARGIN_BYTES;
    let config = WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes));
    let open = async {
        let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(config));
        let mut socket = accepted.await.ok()?;
        pass.settle();
        let hello = socket.next().await?.ok()?;
        match decode(&hello) {
            Some(PeerFrame::Hello { instance, strength_milli }) => {
                Some((socket, instance, strength_milli))
            }
            _ => None,
        }
    };
    let Ok(Some((socket, instance, strength_milli))) = time::timeout(SILENCE_TIMEOUT, open).await
    else {
        return;
    };
    pass.trust();
    pass.settle();
    let (sender, outgoing) = mpsc::unbounded_channel();
    let (incoming, peer_frames) = mpsc::unbounded_channel();
    if joined
        .send(PeerLink {
            instance: instance.clone(),
            strength_milli,
            sender,
            receiver: peer_frames,
        })
        .is_err()
    {
        return;
    }
    let reason =
        exchange(socket, outgoing, LeaderFrame::Heartbeat, incoming, || pass.settle()).await;
    emit!(ctx.log, info, PeerDisconnected; "peer" => %instance, "why" => reason);
}

/// Sends and receives frames until the link fails or either channel is closed.
/// Calls `received` after each frame. Returns the reason.
async fn exchange<T: AsyncRead + AsyncWrite + Unpin, S: Serialize, R: DeserializeOwned>(
    socket: WebSocketStream<T>,
    outgoing: mpsc::UnboundedReceiver<S>,
    heartbeat: S,
    incoming: mpsc::UnboundedSender<R>,
    received: impl Fn(),
) -> String {
    let (sink, stream) = socket.split();
    // On a silent connection with full buffers a send never returns, so receiving,
    // which notices the silence, must not wait for it.
    tokio::select! {
        reason = send_frames(sink, outgoing, heartbeat) => reason,
        reason = receive_frames(stream, incoming, received) => reason,
    }
}

/// Sends frames and heartbeats until a send fails or the channel is closed.
/// Returns the reason.
async fn send_frames<T: AsyncRead + AsyncWrite + Unpin, S: Serialize>(
    mut sink: FrameSink<T>,
    mut outgoing: mpsc::UnboundedReceiver<S>,
    heartbeat: S,
) -> String {
    let mut heartbeats = time::interval(HEARTBEAT_INTERVAL);
    loop {
        let sent = tokio::select! {
            frame = outgoing.recv() => {
                let Some(frame) = frame else {
                    return "closed".to_owned();
                };
                time::timeout(SEND_TIMEOUT, send_all(&mut sink, frame, &mut outgoing)).await
            }
            _ = heartbeats.tick() => {
                time::timeout(SEND_TIMEOUT, sink.send(encode(&heartbeat))).await
            }
        };
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "not read by the other side".to_owned(),
        }
    }
}

/// Receives frames until the link fails, is silent, or the channel is closed.
/// Returns the reason.
async fn receive_frames<T: AsyncRead + AsyncWrite + Unpin, R: DeserializeOwned>(
    mut stream: SplitStream<WebSocketStream<T>>,
    incoming: mpsc::UnboundedSender<R>,
    received: impl Fn(),
) -> String {
    loop {
        let frame = match time::timeout(SILENCE_TIMEOUT, stream.next()).await {
            Ok(Some(Ok(message))) => decode(&message),
            Ok(Some(Err(error))) => return error.to_string(),
            Ok(None) => return "closed by the other side".to_owned(),
            Err(_) => return "silent".to_owned(),
        };
        received();
        if let Some(frame) = frame
            && incoming.send(frame).is_err()
        {
            return "closed".to_owned();
        }
    }
}

/// Sends a frame together with all frames queued behind it, in as few packets
/// as possible.
async fn send_all<T: AsyncRead + AsyncWrite + Unpin, S: Serialize>(
    sink: &mut FrameSink<T>,
    first: S,
    waiting: &mut mpsc::UnboundedReceiver<S>,
) -> Result<(), tungstenite::Error> {
    let mut next = Some(first);
    while let Some(frame) = next {
        sink.feed(encode(&frame)).await?;
        next = waiting.try_recv().ok();
    }
    sink.flush().await
}

fn encode<T: Serialize>(frame: &T) -> Message {
    Message::Binary(work::encode(frame).into())
}

fn decode<T: DeserializeOwned>(message: &Message) -> Option<T> {
    match message {
        Message::Binary(bytes) => work::decode(bytes).ok(),
        _ => None,
    }
}

//! Links from the nodes to the leader, in CBOR over WebSocket messages.

use std::{sync::Arc, time::Duration};

use base::{Failure, Name, clock, emit};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, sync::mpsc, time};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, Message},
};
use work::{JobState, Spec, StepKey, TaskKey};

use crate::{context::Context, follower};

/// Time between frames that keep a link alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Time without a frame after which a link counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);

/// Pause before a link is dialled again.
const DIAL_BACKOFF: Duration = Duration::from_millis(150);

/// A `Down` is a frame of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum LeaderFrame {
    /// States of jobs that have changed, or of all when the link opens.
    States(Vec<(Name, JobState)>),
    /// How the queues are.
    Queues(QueueStatus),
    /// A request to ask which targets may run a step.
    Advise {
        /// Number of the request.
        number: u64,
        /// The step.
        step: StepKey,
        /// The targets in question.
        targets: Vec<Name>,
        /// How long to wait for the answer, in milliseconds.
        timeout_ms: u64,
    },
    /// The leader doubts that it can go on, or is about to end: whoever can lead
    /// says so.
    #[serde(rename = "Doubt")]
    FindSuccessor,
    /// The leader has stopped, and the receiver is to take the lead at once.
    Succeed(Succession),
    /// The outcome of [`Up::Submit`] or [`Up::Cancel`].
    Written {
        /// Number of the request.
        number: u64,
        /// Whether it is recorded, or the failure.
        outcome: Result<(), Failure>,
    },
    /// Nothing new.
    #[serde(rename = "Pulse")]
    Heartbeat,
}

/// A `Queues` is how the queues are.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct QueueStatus {
    /// Numbers of jobs that nothing has started of, by queue.
    pub(crate) pending: Vec<(Name, u32)>,
    /// The queues that take no new jobs for now, with the time after which each
    /// would, in milliseconds.
    pub(crate) refusing: Vec<(Name, u64)>,
}

/// A `Succession` is what the next leader has to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Succession {
    /// Revision of the lead's key.
    pub(crate) revision: u64,
    /// The targets that don't answer, with all that may run on them.
    #[serde(rename = "silent")]
    pub(crate) silent_targets: Vec<(Name, Vec<(TaskKey, u32)>)>,
}

/// An `Up` is a frame to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerFrame {
    /// The first frame.
    Hello {
        /// Name of the sending instance.
        instance: Name,
        /// Processor time that it may use, in thousandths of a core.
        strength_milli: u32,
    },
    /// The answer to [`Down::Advise`].
    Advised {
        /// Number of the request.
        number: u64,
        /// Targets and tickets; `Err` is why there is no answer.
        allowed: Result<Vec<(Name, Name)>, String>,
        /// For how long the tickets are valid, in milliseconds, if told.
        valid_ms: Option<u64>,
    },
    /// The sender reaches the key-value service and is ready to take the lead.
    CanLead,
    /// A job that the sender has recorded.
    Accepted(Name, Box<Spec>),
    /// A cancellation that the sender has recorded.
    Cancelled(Name),
    /// A job to record, as the sender can't.
    Submit {
        /// Number of the request.
        number: u64,
        /// Id of the job.
        id: Name,
        /// The job.
        spec: Box<Spec>,
    },
    /// A cancellation to record, as the sender can't.
    Cancel {
        /// Number of the request.
        number: u64,
        /// Id of the job.
        id: Name,
    },
    /// Nothing new.
    #[serde(rename = "Pulse")]
    Heartbeat,
}

/// A `Joined` is a node whose link is open.
#[derive(Debug)]
pub(crate) struct PeerLink {
    /// Name of the instance.
    pub(crate) instance: Name,
    /// Processor time that it may use, in thousandths of a core.
    pub(crate) strength_milli: u32,
    /// Where frames for it go.
    pub(crate) sender: mpsc::UnboundedSender<LeaderFrame>,
    /// Where its frames come from.
    pub(crate) receiver: mpsc::UnboundedReceiver<PeerFrame>,
}

/// Keeps a link to whoever leads, until the process ends.
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
        emit!(ctx.log, warn, LinkDown; "leader" => %leader.instance, "why" => reason);
        time::sleep(DIAL_BACKOFF).await;
    }
}

/// Opens a link and serves it until it fails; gets why.
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
    emit!(ctx.log, info, LinkUp; "address" => address);
    let (to_leader, outgoing) = mpsc::unbounded_channel();
    let (from_leader, leader_frames) = mpsc::unbounded_channel();
    let instance = Name::from(ctx.settings.name.as_str());
    // The receiver lives in the exchange below.
    let strength_milli = ctx.settings.strength_milli();
    let _ = to_leader.send(PeerFrame::Hello { instance, strength_milli });
    let _connection = ctx.uplink.open(to_leader.clone());
    tokio::select! {
        reason = exchange(socket, outgoing, PeerFrame::Heartbeat, from_leader) => reason,
        () = follower::handle_frames(ctx, leader_frames, to_leader) => "closed".to_owned(),
    }
}

/// Accepts links while this node leads; gets each node that joins.
pub(crate) async fn accept_links(ctx: Arc<Context>, joined: mpsc::UnboundedSender<PeerLink>) {
    loop {
        let Ok((stream, _)) = ctx.links.accept().await else {
            // Out of descriptors, as a rule: some come free in time.
            time::sleep(DIAL_BACKOFF).await;
            continue;
        };
        tokio::spawn(accept_link(Arc::clone(&ctx), stream, joined.clone()));
    }
}

async fn accept_link(
    ctx: Arc<Context>,
    stream: TcpStream,
    joined: mpsc::UnboundedSender<PeerLink>,
) {
    let open = async {
        stream.set_nodelay(true).ok()?;
        let mut socket = tokio_tungstenite::accept_async(stream).await.ok()?;
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
    let reason = exchange(socket, outgoing, LeaderFrame::Heartbeat, incoming).await;
    emit!(ctx.log, info, PeerDown; "peer" => %instance, "why" => reason);
}

/// Sends and receives frames until the link fails or either side is closed;
/// gets why.
async fn exchange<S: Serialize, R: DeserializeOwned>(
    mut socket: WebSocketStream<TcpStream>,
    mut outgoing: mpsc::UnboundedReceiver<S>,
    heartbeat: S,
    incoming: mpsc::UnboundedSender<R>,
) -> String {
    let mut last_received_at = clock::now();
    let mut heartbeats = time::interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            frame = outgoing.recv() => {
                let Some(frame) = frame else {
                    return "closed".to_owned();
                };
                if let Err(error) = send_all(&mut socket, frame, &mut outgoing).await {
                    return error.to_string();
                }
            }
            message = socket.next() => {
                let frame = match message {
                    Some(Ok(message)) => decode(&message),
                    Some(Err(error)) => return error.to_string(),
                    None => return "closed by the other side".to_owned(),
                };
                last_received_at = clock::now();
                if let Some(frame) = frame && incoming.send(frame).is_err() {
                    return "closed".to_owned();
                }
            }
            _ = heartbeats.tick() => {
                if clock::now().saturating_sub(last_received_at) > SILENCE_TIMEOUT {
                    return "silent".to_owned();
                }
                if let Err(error) = socket.send(encode(&heartbeat)).await {
                    return error.to_string();
                }
            }
        }
    }
}

/// Sends a frame and all that wait behind it in as few packets as may be.
async fn send_all<S: Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    first: S,
    waiting: &mut mpsc::UnboundedReceiver<S>,
) -> Result<(), tungstenite::Error> {
    let mut next = Some(first);
    while let Some(frame) = next {
        socket.feed(encode(&frame)).await?;
        next = waiting.try_recv().ok();
    }
    socket.flush().await
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

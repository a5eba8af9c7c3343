//! One attempt at a call, at a runner.

use std::{convert::Infallible, sync::Arc, time::Duration};

use base::{Failure, Load, Name, Result};
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, Response, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use route::Permit;
use target::{Call, Reply};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use tonic::{Status, body::Body};
use wire::{CallReply, status_of};

use crate::process::{Context, RunnerHandle};

/// Answers up to this many bytes are held until they are whole; longer ones
/// are passed on as they come.
const HELD_BYTES: usize = 256 << 10;

/// Parts of a long answer that may wait for the caller.
const WAITING_PARTS: usize = 8;

/// Time after the deadline for which a runner keeps its slot while it doesn't
/// answer.
const OVERTIME: Duration = Duration::from_secs(30);

/// An `Attempt` is one attempt at a call, with the slot it takes.
pub(crate) struct Attempt {
    pub(crate) permit: Permit<RunnerHandle>,
    pub(crate) attempt: Name,
    pub(crate) once: Option<Name>,
    pub(crate) left: Duration,
    pub(crate) largest: usize,
    pub(crate) path: Name,
    pub(crate) body: Bytes,
}

/// A `Whole` is an answer that is there to its end.
#[derive(Debug)]
pub(crate) struct Whole {
    data: Bytes,
    trailers: HeaderMap,
}

impl From<CallReply> for Whole {
    fn from(answer: CallReply) -> Self {
        let status = Status::new(answer.code.into(), answer.message);
        let mut trailers = HeaderMap::new();
        // A message that is no header value is left out.
        let _ = status.add_header(&mut trailers);
        Self { data: answer.body, trailers }
    }
}

/// A `CallBody` is the body of an answer.
pub(crate) enum CallBody {
    /// All of it.
    Whole(Whole),
    /// Its parts as they come, the trailers last.
    Long(mpsc::Receiver<Frame<Bytes>>),
}

/// An `Answered` is the answer to a call.
pub(crate) struct Answered {
    pub(crate) headers: HeaderMap,
    pub(crate) body: CallBody,
}

impl Answered {
    /// Makes the response to the caller.
    pub(crate) fn into_response(self) -> Response<Body> {
        let body = match self.body {
            CallBody::Whole(whole) => {
                let frames = [Frame::data(whole.data), Frame::trailers(whole.trailers)];
                Body::new(StreamBody::new(stream::iter(frames.map(Ok::<_, Infallible>))))
            }
            CallBody::Long(parts) => {
                let frames = stream::unfold(parts, |mut parts| async {
                    parts.recv().await.map(|frame| (Ok::<_, Infallible>(frame), parts))
                });
                Body::new(StreamBody::new(frames.boxed()))
            }
        };
        let mut response = Response::new(body);
        *response.headers_mut() = self.headers;
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
        response
    }

    /// Waits for the end of the answer, for a peer.
    ///
    /// # Errors
    /// Fails if the answer breaks off: the call has run at least in part.
    pub(crate) async fn into_whole(self, load: Load) -> Result<CallReply> {
        let whole = match self.body {
            CallBody::Whole(whole) => whole,
            CallBody::Long(mut parts) => {
                let mut data = BytesMut::new();
                let mut trailers = None;
                while let Some(frame) = parts.recv().await {
                    match frame.into_data() {
                        Ok(part) => data.extend_from_slice(&part),
                        Err(frame) => trailers = frame.into_trailers().ok(),
                    }
                }
                let trailers = trailers.ok_or_else(|| Failure::unknown("the answer broke off"))?;
                Whole { data: data.freeze(), trailers }
            }
        };
        let status = Status::from_header_map(&whole.trailers)
            .ok_or_else(|| Failure::unknown("the answer broke off"))?;
        Ok(CallReply {
            body: whole.data,
            code: status.code().into(),
            message: status.message().to_owned(),
            load,
        })
    }
}

/// Runs an attempt. Its slot is taken until the runner has ended, also when
/// nobody waits for the answer any more.
///
/// # Errors
/// Fails if there is no answer before the deadline or it breaks off.
pub(crate) async fn run(ctx: &Arc<Context>, attempt: Attempt) -> Result<Answered> {
    let (sender, answer) = oneshot::channel();
    let left = attempt.left;
    let owner = ctx.name.clone();
    tokio::spawn(async move {
        let limit = attempt.left + OVERTIME;
        // A runner that is silent for so long has lost the call.
        let _ = time::timeout(limit, perform(attempt, owner, sender)).await;
    });
    match time::timeout(left, answer).await {
        Ok(Ok(answered)) => answered,
        Ok(Err(_)) => Err(Failure::unknown("the attempt broke off")),
        Err(_) => Err(Failure::unknown("the runner did not answer before the deadline")),
    }
}

async fn perform(attempt: Attempt, owner: Name, sender: oneshot::Sender<Result<Answered>>) {
    let Attempt { mut permit, attempt, once, left, largest, path, body } = attempt;
    let call = Call {
        path,
        attempt,
        once,
        owner,
        term: permit.handle.term,
        left_ms: left.as_millis() as u64,
        body,
    };
    let link = Arc::clone(&permit.handle.link);
    permit.mark_sent();
    match link.call(call).await {
        Ok(reply) => read_reply(reply, largest, sender).await,
        Err(failure) => {
            if failure.is_not_run() {
                permit.clear_sent();
            }
            let _ = sender.send(Err(failure));
        }
    }
    drop(permit);
}

/// Reads a reply: a short one to its end before it is passed on, a long one in
/// parts.
async fn read_reply(reply: Reply, largest: usize, sender: oneshot::Sender<Result<Answered>>) {
    let Reply { headers, mut body } = reply;
    let mut held = BytesMut::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(part) => held.extend_from_slice(&part),
                Err(frame) => {
                    let trailers = frame.into_trailers().unwrap_or_default();
                    let _ = sender.send(finish(headers, held.freeze(), trailers, largest));
                    return;
                }
            },
            // A refusal comes with its status among the headers.
            None if headers.contains_key(Status::GRPC_STATUS) => {
                let trailers = headers.clone();
                let _ = sender.send(finish(headers, held.freeze(), trailers, largest));
                return;
            }
            Some(Err(_)) | None => {
                let _ = sender.send(Err(Failure::unknown("the answer broke off")));
                return;
            }
        }
        if held.len() > HELD_BYTES && held.len() <= largest {
            let (parts, receiver) = mpsc::channel(WAITING_PARTS);
            let answered = Answered { headers, body: CallBody::Long(receiver) };
            let _ = sender.send(Ok(answered));
            pass_on(held.freeze(), body, largest, parts).await;
            return;
        }
        if held.len() > largest {
            let _ = sender.send(Err(too_large(largest)));
            drain(body).await;
            return;
        }
    }
}

fn finish(
    headers: HeaderMap,
    data: Bytes,
    trailers: HeaderMap,
    largest: usize,
) -> Result<Answered> {
    if !trailers.contains_key(Status::GRPC_STATUS) {
        return Err(Failure::unknown("the answer broke off"));
    }
    if data.len() > largest {
        return Err(too_large(largest));
    }
    Ok(Answered { headers, body: CallBody::Whole(Whole { data, trailers }) })
}

fn too_large(largest: usize) -> Failure {
    Failure::ran(format!("the answer is larger than {largest} bytes"))
}

/// Passes on a long reply. When it breaks off or grows too large, the caller
/// gets a failure in place of its end.
async fn pass_on(first: Bytes, mut body: Body, largest: usize, parts: mpsc::Sender<Frame<Bytes>>) {
    let mut size = first.len();
    // The caller may leave; the reply is then read to its end all the same.
    let mut caller_gone = parts.send(Frame::data(first)).await.is_err();
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) | None => {
                let failure = Failure::unknown("the answer broke off");
                let _ = parts.send(failure_trailers(&failure)).await;
                return;
            }
        };
        if let Some(part) = frame.data_ref() {
            size += part.len();
        }
        if size > largest {
            let _ = parts.send(failure_trailers(&too_large(largest))).await;
            drain(body).await;
            return;
        }
        let is_last = frame.is_trailers();
        if !caller_gone {
            caller_gone = parts.send(frame).await.is_err();
        }
        if is_last {
            return;
        }
    }
}

fn failure_trailers(failure: &Failure) -> Frame<Bytes> {
    let mut trailers = HeaderMap::new();
    // The text of a failure is always a header value once it is encoded.
    let _ = status_of(failure).add_header(&mut trailers);
    Frame::trailers(trailers)
}

/// Reads a body to its end, so that the runner's slot is free when it is
/// given back.
async fn drain(mut body: Body) {
    while let Some(Ok(_)) = body.frame().await {}
}

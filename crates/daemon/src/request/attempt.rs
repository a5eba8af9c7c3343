//! Attempt of a call at a runner.

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

/// Size up to which an answer is buffered until complete; a larger answer is
/// streamed to the caller.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Limit on the parts of a streamed answer that are queued for the caller.
const MAX_QUEUED_PARTS: usize = 8;

/// Time after the deadline for which the slot of an unanswered call stays
/// taken, since the call may still run.
const OVERRUN_GRACE: Duration = Duration::from_secs(30);

/// Attempt of a call, with the slot that the call takes.
pub(crate) struct Attempt {
    pub(crate) permit: Permit<RunnerHandle>,
    pub(crate) attempt: Name,
    pub(crate) once_id: Option<Name>,
    pub(crate) time_left: Duration,
    pub(crate) max_answer_bytes: usize,
    pub(crate) path: Name,
    pub(crate) body: Bytes,
}

/// Answer received up to the end.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    data: Bytes,
    trailers: HeaderMap,
}

impl From<CallReply> for CompleteAnswer {
    fn from(answer: CallReply) -> Self {
        let status = Status::new(answer.code.into(), answer.message);
        let mut trailers = HeaderMap::new();
        // A message that is not a valid header value is omitted.
        let _ = status.add_header(&mut trailers);
        Self { data: answer.body, trailers }
    }
}

/// Body of an answer.
pub(crate) enum CallBody {
    /// Body received up to the end.
    Complete(CompleteAnswer),
    /// Receiver of the parts as they arrive; the trailers come last.
    Streamed(mpsc::Receiver<Frame<Bytes>>),
}

/// Answer to a call.
pub(crate) struct Answer {
    pub(crate) headers: HeaderMap,
    pub(crate) body: CallBody,
}

impl Answer {
    /// Converts the answer into the response to the caller.
    pub(crate) fn into_response(self) -> Response<Body> {
        let body = match self.body {
            CallBody::Complete(complete) => {
                let frames = [Frame::data(complete.data), Frame::trailers(complete.trailers)];
                Body::new(StreamBody::new(stream::iter(frames.map(Ok::<_, Infallible>))))
            }
            CallBody::Streamed(parts) => {
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

    /// Waits for the end of the answer and converts it into the reply to a
    /// peer.
    ///
    /// # Errors
    /// Fails if the answer is truncated: the call has run at least in part.
    pub(crate) async fn into_reply(self, load: Load) -> Result<CallReply> {
        let complete = match self.body {
            CallBody::Complete(complete) => complete,
            CallBody::Streamed(mut parts) => {
                let mut data = BytesMut::new();
                let mut trailers = None;
                while let Some(frame) = parts.recv().await {
                    match frame.into_data() {
                        Ok(part) => data.extend_from_slice(&part),
                        Err(frame) => trailers = frame.into_trailers().ok(),
                    }
                }
                let trailers = trailers.ok_or_else(|| Failure::unknown("the answer broke off"))?;
                CompleteAnswer { data: data.freeze(), trailers }
            }
        };
        let status = Status::from_header_map(&complete.trailers)
            .ok_or_else(|| Failure::unknown("the answer broke off"))?;
        Ok(CallReply {
            body: complete.data,
            code: status.code().into(),
            message: status.message().to_owned(),
            load,
        })
    }
}

/// Runs an attempt. The slot stays taken until the runner has finished, even if
/// the caller no longer waits for the answer.
///
/// # Errors
/// Fails if the runner refuses the call, does not answer before the deadline or
/// sends a truncated answer.
pub(crate) async fn run(ctx: &Arc<Context>, attempt: Attempt) -> Result<Answer> {
    let (sender, answer) = oneshot::channel();
    let time_left = attempt.time_left;
    let owner = ctx.name.clone();
    tokio::spawn(async move {
        let limit = attempt.time_left + OVERRUN_GRACE;
        // A runner that does not answer for this long is assumed to have lost
        // the call.
        let _ = time::timeout(limit, execute(attempt, owner, sender)).await;
    });
    match time::timeout(time_left, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(Failure::unknown("the attempt broke off")),
        Err(_) => Err(Failure::unknown("the runner did not answer before the deadline")),
    }
}

async fn execute(attempt: Attempt, owner: Name, sender: oneshot::Sender<Result<Answer>>) {
    let Attempt { mut permit, attempt, once_id, time_left, max_answer_bytes, path, body } = attempt;
    let call = Call {
        path,
        attempt,
        once_id,
        owner,
        term: permit.handle.term,
        left_ms: time_left.as_millis() as u64,
        body,
    };
    let link = Arc::clone(&permit.handle.link);
    permit.mark_sent();
    match link.call(call).await {
        Ok(reply) => read_reply(reply, max_answer_bytes, sender).await,
        Err(failure) => {
            if failure.is_not_run() {
                permit.clear_sent();
            }
            let _ = sender.send(Err(failure));
        }
    }
    drop(permit);
}

/// Reads a reply: buffers a short one up to the end, and streams a long one in
/// parts.
async fn read_reply(
    reply: Reply,
    max_answer_bytes: usize,
    sender: oneshot::Sender<Result<Answer>>,
) {
    let Reply { headers, mut body } = reply;
    let mut buffered = BytesMut::new();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(part) => buffered.extend_from_slice(&part),
                Err(frame) => {
                    let trailers = frame.into_trailers().unwrap_or_default();
                    let _ = sender.send(complete_answer(
                        headers,
                        buffered.freeze(),
                        trailers,
                        max_answer_bytes,
                    ));
                    return;
                }
            },
            // A `Trailers-Only` response, as of a refusal, has the status among
            // its headers.
            None if headers.contains_key(Status::GRPC_STATUS) => {
                let trailers = headers.clone();
                let _ = sender.send(complete_answer(
                    headers,
                    buffered.freeze(),
                    trailers,
                    max_answer_bytes,
                ));
                return;
            }
            Some(Err(_)) | None => {
                let _ = sender.send(Err(Failure::unknown("the answer broke off")));
                return;
            }
        }
        if buffered.len() > MAX_BUFFERED_BYTES && buffered.len() <= max_answer_bytes {
            let (parts, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
            let answer = Answer { headers, body: CallBody::Streamed(receiver) };
            let _ = sender.send(Ok(answer));
            forward_stream(buffered.freeze(), body, max_answer_bytes, parts).await;
            return;
        }
        if buffered.len() > max_answer_bytes {
            let _ = sender.send(Err(too_large(max_answer_bytes)));
            drain(body).await;
            return;
        }
    }
}

fn complete_answer(
    headers: HeaderMap,
    data: Bytes,
    trailers: HeaderMap,
    max_answer_bytes: usize,
) -> Result<Answer> {
    if !trailers.contains_key(Status::GRPC_STATUS) {
        return Err(Failure::unknown("the answer broke off"));
    }
    if data.len() > max_answer_bytes {
        return Err(too_large(max_answer_bytes));
    }
    Ok(Answer { headers, body: CallBody::Complete(CompleteAnswer { data, trailers }) })
}

fn too_large(max_answer_bytes: usize) -> Failure {
    Failure::ran(format!("the answer is larger than {max_answer_bytes} bytes"))
}

/// Streams a long reply to the caller. If the reply is truncated or grows too
/// large, the stream ends with the status of a failure.
async fn forward_stream(
    first: Bytes,
    mut body: Body,
    max_answer_bytes: usize,
    parts: mpsc::Sender<Frame<Bytes>>,
) {
    let mut size = first.len();
    // If the caller disconnects, the reply is still read up to the end, since
    // the runner's slot is taken until then.
    let mut is_caller_gone = parts.send(Frame::data(first)).await.is_err();
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
        if size > max_answer_bytes {
            let _ = parts.send(failure_trailers(&too_large(max_answer_bytes))).await;
            drain(body).await;
            return;
        }
        let is_end = frame.is_trailers();
        if !is_caller_gone {
            is_caller_gone = parts.send(frame).await.is_err();
        }
        if is_end {
            return;
        }
    }
}

fn failure_trailers(failure: &Failure) -> Frame<Bytes> {
    let mut trailers = HeaderMap::new();
    // The percent-encoded text of a failure is always a valid header value.
    let _ = status_of(failure).add_header(&mut trailers);
    Frame::trailers(trailers)
}

/// Reads a body up to the end, so that the runner has finished when the slot is
/// released.
async fn drain(mut body: Body) {
    while let Some(Ok(_)) = body.frame().await {}
}

//! Stand-in for a runner.

use std::{
    collections::BTreeSet,
    convert::Infallible,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::Failure;
use bytes::{BufMut, Bytes, BytesMut};
use futures::{StreamExt, stream};
use http::{HeaderMap, Request, Response, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use tokio::{sync::watch, time};
use tonic::{Status, body::Body};
use wire::{
    ATTEMPT_HEADER, FenceHeaders,
    pb::{self, target_server::Target},
    status_of,
};

use crate::{
    fault::{Fault, Faults},
    layout::Group,
    observer::Observer,
    stamp::{Fence, now_ms},
};

/// Back-off that callers are told to observe after a refused call.
const RETRY_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum size of a data frame of an answer, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Runner that echoes the body of each call.
///
/// The text of a call may change the behaviour: `sleep=MS` delays the answer,
/// `size=BYTES` sets the size of the answer, `cut` breaks the answer off halfway
/// and `status=CODE` sets the gRPC status.
#[derive(Clone, Debug)]
pub(crate) struct Runner {
    name: String,
    group: Arc<Group>,
    faults: Faults,
    observer: Observer,
    state: Arc<Mutex<State>>,
    revision: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    fence: Fence,
    boot: u64,
    calls: BTreeSet<String>,
}

/// Slot taken by a call; freed on drop.
struct Slot {
    runner: Runner,
    attempt: String,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.runner.state.lock().expect("no holder of the lock panics");
        state.calls.remove(&self.attempt);
    }
}

impl Runner {
    pub(crate) fn new(name: String, group: Arc<Group>, faults: Faults, observer: Observer) -> Self {
        let state = State { boot: now_ms(), ..Default::default() };
        Self {
            name,
            group,
            faults,
            observer,
            state: Arc::new(Mutex::new(state)),
            revision: watch::Sender::new(1),
        }
    }

    /// Serves a call after the delay of the runner's fault.
    pub(crate) async fn serve(self, request: Request<Incoming>) -> Response<Body> {
        self.faults.delay_request(&self.name).await;
        let slot = match self.admit(request.headers()) {
            Ok(slot) => slot,
            Err(status) => return status.into_http(),
        };
        let Ok(body) = request.into_body().collect().await else {
            return Status::cancelled("the request broke off").into_http();
        };
        let body = body.to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        let sleep = number(&text, "sleep=").unwrap_or(self.group.call_ms);
        // A sleep of zero would still wait for the next tick of the timer.
        if sleep > 0 {
            time::sleep(Duration::from_millis(sleep)).await;
        }
        let answer = match number(&text, "size=") {
            Some(size) => long_message(size as usize),
            None => body,
        };
        respond(answer, text.contains("cut"), number(&text, "status=").unwrap_or(0), slot)
    }

    /// Checks the fencing headers of a call and takes a slot.
    fn admit(&self, headers: &HeaderMap) -> Result<Slot, Status> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
        let term = text(FenceHeaders::TERM).parse().unwrap_or(0);
        let attempt = text(ATTEMPT_HEADER).to_owned();
        let once = Some(text(FenceHeaders::ONCE)).filter(|once| !once.is_empty());
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if self.faults.get(&self.name) == Fault::Down {
            return Err(status_of(&Failure::busy(RETRY_BACKOFF, "the runner is down")));
        }
        if attempt.is_empty() {
            // Calls without an attempt id come from clients that bypass the
            // scheduler, such as the load tool for comparison; neither fencing
            // nor counting applies.
            return Ok(Slot { runner: self.clone(), attempt });
        }
        state.fence.check_owner(text(FenceHeaders::OWNER), term, &self.observer).map_err(|_| {
            status_of(&Failure::busy(RETRY_BACKOFF, "the runner has another owner"))
        })?;
        state.calls.insert(attempt.clone());
        self.observer.record_call(&self.name, once, state.calls.len() as u32, self.group.slots);
        Ok(Slot { runner: self.clone(), attempt })
    }
}

/// Returns the number that follows `key` in a text.
fn number(text: &str, key: &str) -> Option<u64> {
    let (_, rest) = text.split_once(key)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns a gRPC message whose field 1 is a string of `size` bytes.
fn long_message(size: usize) -> Bytes {
    let mut field = BytesMut::new();
    field.put_u8(0x0a);
    let mut rest = size;
    while rest >= 0x80 {
        field.put_u8(rest as u8 | 0x80);
        rest >>= 7;
    }
    field.put_u8(rest as u8);
    field.put_bytes(b'x', size);
    let mut message = BytesMut::new();
    message.put_u8(0);
    message.put_u32(field.len() as u32);
    message.extend_from_slice(&field);
    message.freeze()
}

fn respond(answer: Bytes, is_cut: bool, status: u64, slot: Slot) -> Response<Body> {
    let end = if is_cut { answer.len() / 2 } else { answer.len() };
    let starts = (0..end).step_by(MAX_FRAME_BYTES);
    let mut frames: Vec<_> =
        starts.map(|at| Frame::data(answer.slice(at..end.min(at + MAX_FRAME_BYTES)))).collect();
    if !is_cut {
        let mut trailers = HeaderMap::new();
        let _ = Status::new((status as i32).into(), "").add_header(&mut trailers);
        frames.push(Frame::trailers(trailers));
    }
    // Free the slot before the caller can read the end of the answer.
    let last = frames.len().saturating_sub(1);
    let mut held_slot = Some(slot);
    let frames = stream::iter(frames.into_iter().enumerate()).map(move |(number, frame)| {
        if number == last {
            drop(held_slot.take());
        }
        Ok::<_, Infallible>(frame)
    });
    let mut response = Response::new(Body::new(StreamBody::new(frames)));
    let value = header::HeaderValue::from_static("application/grpc");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

#[tonic::async_trait]
impl Target for Runner {
    async fn claim(
        &self,
        request: tonic::Request<pb::ClaimRequest>,
    ) -> Result<tonic::Response<pb::ClaimReply>, Status> {
        self.faults.delay_request(&self.name).await;
        let request = request.into_inner();
        let (boot, calls) = {
            let mut state = self.state.lock().expect("no holder of the lock panics");
            state.fence.claim(&request.stamp.unwrap_or_default(), &self.observer)?;
            (state.boot, state.calls.iter().cloned().collect())
        };
        let mut revision = self.revision.subscribe();
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        let changed = revision.wait_for(|now| *now != request.seen_revision);
        let _ = time::timeout(wait, changed).await;
        self.faults.delay_request(&self.name).await;
        Ok(tonic::Response::new(pb::ClaimReply {
            now_ms: now_ms(),
            boot,
            revision: *self.revision.borrow(),
            kind: self.group.kind.clone(),
            slots: self.group.slots,
            services: self.group.services.clone(),
            calls,
            ..Default::default()
        }))
    }

    async fn start(
        &self,
        _: tonic::Request<pb::StartRequest>,
    ) -> Result<tonic::Response<pb::StartReply>, Status> {
        Err(Status::unimplemented("a runner runs no tasks"))
    }

    async fn control(
        &self,
        _: tonic::Request<pb::ControlRequest>,
    ) -> Result<tonic::Response<pb::ControlReply>, Status> {
        Err(Status::unimplemented("a runner runs no tasks"))
    }
}

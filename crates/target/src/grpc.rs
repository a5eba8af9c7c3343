//! Links to targets over the gRPC services of `target.proto`, and calls to
//! runners as ordinary gRPC requests.

use std::{error::Error as StdError, sync::Arc, time::Duration};

use base::{Failure, Name, Result};
use futures::{FutureExt, future::BoxFuture};
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tonic::{
    ConnectError, Status,
    body::Body,
    transport::{Channel, Endpoint},
};
use wire::{
    ATTEMPT_HEADER, FenceHeaders, failure_of,
    pb::{self, target_client::TargetClient},
};

use crate::{
    call::{Call, Reply},
    link::{Claim, Connector, Control, ControlAction, Link, Stamp, Start, StartOutcome},
    report::{Attempt, AttemptId, AttemptState, Report},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval of keep-alive pings, and timeout for the answer to each.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the answer of a target, in addition to the wait that a claim
/// requests.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a request whose connection was refused is tried again.
const REFUSED_RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Connector that opens links over gRPC.
#[derive(Clone, Copy, Debug, Default)]
pub struct Grpc;

impl Connector for Grpc {
    fn link(&self, address: &str) -> Result<Arc<dyn Link>> {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Failure::invalid(format!("target address {address}: {error}")))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .keep_alive_while_idle(true)
            .tcp_nodelay(true);
        let client = TargetClient::new(endpoint.connect_lazy());
        Ok(Arc::new(GrpcLink { client, calls: call_client(), address: address.into() }))
    }
}

/// Creates the client for calls. In contrast to the channel of a generated
/// client, this client does not cancel a call at its deadline: a call that a
/// runner has begun occupies its slot until the runner ends the call.
fn call_client() -> CallClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    legacy::Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .http2_keep_alive_timeout(KEEP_ALIVE_INTERVAL)
        .http2_keep_alive_while_idle(true)
        .build(connector)
}

type CallClient = legacy::Client<HttpConnector, Body>;

struct GrpcLink {
    client: TargetClient<Channel>,
    calls: CallClient,
    address: Name,
}

impl Link for GrpcLink {
    fn claim(&self, claim: Claim) -> BoxFuture<'_, Result<Report>> {
        let timeout = claim.wait + ANSWER_TIMEOUT;
        let mut client = self.client.clone();
        async move {
            with_timeout(timeout, client.claim(pb::ClaimRequest::from(claim))).await?.try_into()
        }
        .boxed()
    }

    fn start(&self, stamp: Stamp, starts: Vec<Start>) -> BoxFuture<'_, Result<Vec<StartOutcome>>> {
        let count = starts.len();
        let request = pb::StartRequest {
            stamp: Some(stamp.into()),
            starts: starts.into_iter().map(Into::into).collect(),
        };
        let mut client = self.client.clone();
        async move {
            let reply = with_timeout(ANSWER_TIMEOUT, client.start(request)).await?;
            let outcomes: Vec<_> = reply.outcomes().map(StartOutcome::from).collect();
            if outcomes.len() == count {
                Ok(outcomes)
            } else {
                Err(Failure::unknown("the target answered for another number of starts"))
            }
        }
        .boxed()
    }

    fn control(&self, stamp: Stamp, control: Control) -> BoxFuture<'_, Result<()>> {
        let action = match control.action {
            ControlAction::Stop => pb::ControlAction::Stop,
            ControlAction::Checkpoint => pb::ControlAction::Checkpoint,
            ControlAction::Throttle => pb::ControlAction::Throttle,
        };
        let request = pb::ControlRequest {
            stamp: Some(stamp.into()),
            ids: control.ids.into_iter().map(Into::into).collect(),
            action: action.into(),
        };
        let mut client = self.client.clone();
        async move { with_timeout(ANSWER_TIMEOUT, client.control(request)).await.map(|_| ()) }
            .boxed()
    }

    fn call(&self, call: Call) -> BoxFuture<'_, Result<Reply>> {
        async move {
            let request = http_request(&self.address, call)?;
            let response =
                self.calls.request(request).await.map_err(|error| failure_of_call(&error))?;
            let (head, body) = response.into_parts();
            if head.status != StatusCode::OK {
                return Err(Failure::unknown(format!("the runner answered HTTP {}", head.status)));
            }
            // A runner that refuses a call sends a verdict in the response headers.
            if head.headers.contains_key(wire::VERDICT_HEADER)
                && let Some(status) = Status::from_header_map(&head.headers)
            {
                return Err(failure_of(&status));
            }
            Ok(Reply { headers: head.headers, body: Body::new(body) })
        }
        .boxed()
    }
}

fn http_request(address: &str, call: Call) -> Result<Request<Body>> {
    let header_value = |text: &str| {
        HeaderValue::from_str(text)
            .map_err(|_| Failure::invalid("a header of the call has a character out of range"))
    };
    let mut request = Request::new(Body::new(Full::new(call.body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = format!("http://{address}{}", call.path)
        .parse()
        .map_err(|_| Failure::invalid("the path of the call is malformed"))?;
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    headers.insert(header::TE, HeaderValue::from_static("trailers"));
    headers.insert("grpc-timeout", header_value(&format!("{}m", call.left_ms.min(99_999_999)))?);
    headers.insert(ATTEMPT_HEADER, header_value(&call.attempt)?);
    headers.insert(FenceHeaders::OWNER, header_value(&call.owner)?);
    headers.insert(FenceHeaders::TERM, HeaderValue::from(call.term));
    if let Some(once_id) = &call.once_id {
        headers.insert(FenceHeaders::ONCE, header_value(once_id)?);
    }
    Ok(request)
}

async fn with_timeout<T>(
    timeout: Duration,
    request: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T> {
    match tokio::time::timeout(timeout, request).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) if is_connect_error(&status) => {
            Err(Failure::busy(REFUSED_RETRY_BACKOFF, status.message()))
        }
        Ok(Err(status)) => Err(failure_of(&status)),
        Err(_) => Err(Failure::unknown("no answer in time")),
    }
}

/// Returns the failure of a call that got no response. The call is known not to
/// have run only if the connection could not be opened.
fn failure_of_call(error: &legacy::Error) -> Failure {
    if error.is_connect() {
        Failure::busy(REFUSED_RETRY_BACKOFF, format!("no connection to the target: {error}"))
    } else {
        Failure::unknown(format!("the connection to the target broke: {error}"))
    }
}

fn is_connect_error(error: &(dyn StdError + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if error.is::<ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}

impl From<Stamp> for pb::Stamp {
    fn from(stamp: Stamp) -> Self {
        Self {
            owner: stamp.owner.to_string(),
            term: stamp.term,
            not_after_ms: stamp.not_after.as_millis() as u64,
        }
    }
}

impl From<Claim> for pb::ClaimRequest {
    fn from(claim: Claim) -> Self {
        Self {
            stamp: Some(claim.stamp.into()),
            lease_ms: claim.lease.as_millis() as u32,
            wait_ms: claim.wait.as_millis() as u32,
            seen_revision: claim.seen_revision,
            forget: claim.forget.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<AttemptId> for pb::AttemptId {
    fn from(id: AttemptId) -> Self {
        Self { job: id.job.to_string(), index: id.index, attempt: id.attempt }
    }
}

impl From<pb::AttemptId> for AttemptId {
    fn from(id: pb::AttemptId) -> Self {
        Self { job: Name::from(id.job), index: id.index, attempt: id.attempt }
    }
}

impl From<Start> for pb::AttemptStart {
    fn from(start: Start) -> Self {
        Self {
            id: Some(start.id.into()),
            size: Some(start.size.into()),
            declared_run_ms: start.declared_run.as_millis() as u32,
            payload: start.payload,
        }
    }
}

impl From<pb::Refusal> for StartOutcome {
    fn from(refusal: pb::Refusal) -> Self {
        match refusal {
            pb::Refusal::None => Self::Started,
            pb::Refusal::NoRoom => Self::NoRoom,
            pb::Refusal::Failed | pb::Refusal::Unspecified => Self::Failed,
        }
    }
}

impl TryFrom<pb::ClaimReply> for Report {
    type Error = Failure;

    fn try_from(reply: pb::ClaimReply) -> Result<Self> {
        let attempts: Result<Vec<_>> = reply.attempts.into_iter().map(Attempt::try_from).collect();
        Ok(Self {
            now: Duration::from_millis(reply.now_ms),
            boot: reply.boot,
            revision: reply.revision,
            capacity: reply.capacity.unwrap_or_default().into(),
            kind: reply.kind.into(),
            labels: reply.labels.into_iter().map(Name::from).collect(),
            attempts: attempts?,
            slots: reply.slots,
            services: reply.services.into_iter().map(Name::from).collect(),
            calls: reply.calls.into_iter().map(Name::from).collect(),
        })
    }
}

impl TryFrom<pb::AttemptReport> for Attempt {
    type Error = Failure;

    fn try_from(report: pb::AttemptReport) -> Result<Self> {
        let state = match report.state() {
            pb::AttemptState::Running => AttemptState::Running,
            pb::AttemptState::Succeeded => AttemptState::Succeeded,
            pb::AttemptState::Failed => AttemptState::Failed,
            pb::AttemptState::Stopped => AttemptState::Stopped,
            pb::AttemptState::Lapsed => AttemptState::Lapsed,
            pb::AttemptState::Unspecified => {
                return Err(Failure::unknown("a report has an attempt without a state"));
            }
        };
        let id = report.id.ok_or_else(|| Failure::unknown("a report has an attempt without id"))?;
        Ok(Self { id: id.into(), state, size: report.size.unwrap_or_default().into() })
    }
}

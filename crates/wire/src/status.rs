//! Failures as gRPC statuses.
//!
//! The verdict travels in the trailer `skylarkspan-verdict` and the time to
//! wait in `grpc-retry-pushback-ms`, the standard trailer for it.

use std::time::Duration;

use base::{Failure, Remedy, Verdict};
use http::{HeaderMap, HeaderValue};
use tonic::{Code, Status, metadata::MetadataMap};

/// Trailer with the verdict on a failed request.
pub const VERDICT_HEADER: &str = "skylarkspan-verdict";

/// Trailer with the time to wait before a retry, in milliseconds.
pub const RETRY_PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";

/// Header with the id that a caller gives to a request and to its repeats.
pub const REQUEST_ID_HEADER: &str = "skylarkspan-request-id";

/// Header with the id of one attempt at a call.
pub const ATTEMPT_HEADER: &str = "skylarkspan-attempt";

/// A `FenceHeaders` names the headers by which a runner fences a call.
#[derive(Debug)]
pub struct FenceHeaders;

impl FenceHeaders {
    /// Header with the owner that sends the call.
    pub const OWNER: &'static str = "skylarkspan-owner";
    /// Header with the owner's term.
    pub const TERM: &'static str = "skylarkspan-term";
    /// Header that marks a call that may run at most once.
    pub const ONCE: &'static str = "skylarkspan-once";
}

/// Gets the status that carries `failure`.
pub fn status_of(failure: &Failure) -> Status {
    let metadata = MetadataMap::from_headers(headers_of(failure));
    Status::with_metadata(code_of(failure), failure.reason.clone(), metadata)
}

/// Gets the trailers that carry the verdict and the time to wait.
pub fn headers_of(failure: &Failure) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(failure.verdict.as_str()));
    if let Remedy::Retry(after) = failure.remedy {
        headers.insert(RETRY_PUSHBACK_HEADER, HeaderValue::from(after.as_millis() as u64));
    }
    headers
}

/// Gets the failure that a status carries. A status without a verdict comes
/// from the connection or from another system: unless its code says that the
/// request was refused, the request may have run.
pub fn failure_of(status: &Status) -> Failure {
    let reason = status.message().to_owned();
    let verdict = status
        .metadata()
        .get(VERDICT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(Verdict::from_text)
        .unwrap_or(Verdict::MayHaveRun);
    let after = status
        .metadata()
        .get(RETRY_PUSHBACK_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let remedy = match (after, status.code()) {
        (Some(after), _) => Remedy::Retry(after),
        (None, Code::InvalidArgument | Code::FailedPrecondition | Code::OutOfRange) => Remedy::Fix,
        (None, Code::Unauthenticated | Code::PermissionDenied) => Remedy::Authenticate,
        (None, Code::NotFound | Code::Unimplemented) => Remedy::Find,
        (None, Code::Aborted) => Remedy::Reread,
        (None, _) => Remedy::Reconcile,
    };
    Failure { verdict, remedy, reason }
}

fn code_of(failure: &Failure) -> Code {
    match failure.remedy {
        Remedy::Fix => Code::InvalidArgument,
        Remedy::Authenticate => Code::Unauthenticated,
        Remedy::Find => Code::NotFound,
        Remedy::Reread => Code::Aborted,
        Remedy::Retry(_) => Code::Unavailable,
        Remedy::Reconcile => Code::Unknown,
    }
}

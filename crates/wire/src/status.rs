//! Conversion between failures and gRPC statuses.
//!
//! The trailer `skylarkspan-verdict` carries the verdict, and the standard
//! trailer `grpc-retry-pushback-ms` the delay before a retry.

use std::time::Duration;

use base::{Failure, Remedy, Verdict};
use http::{HeaderMap, HeaderValue};
use tonic::{Code, Status, metadata::MetadataMap};

/// Trailer with the verdict of a failed request.
pub const VERDICT_HEADER: &str = "skylarkspan-verdict";

/// Trailer with the delay before a retry, in milliseconds.
pub const RETRY_PUSHBACK_HEADER: &str = "grpc-retry-pushback-ms";

/// Header with the id that a caller gives to a request and all its retries.
pub const REQUEST_ID_HEADER: &str = "skylarkspan-request-id";

/// Header with the id of an attempt at a call.
pub const ATTEMPT_HEADER: &str = "skylarkspan-attempt";

/// Names of the headers by which a runner fences outdated owners and repeated
/// calls.
#[derive(Debug)]
pub struct FenceHeaders;

impl FenceHeaders {
    /// Header with the instance that owns the runner and sends the call.
    pub const OWNER: &'static str = "skylarkspan-owner";
    /// Header with the term of the owner.
    pub const TERM: &'static str = "skylarkspan-term";
    /// Header with the request id of a call that may run at most once.
    pub const ONCE: &'static str = "skylarkspan-once";
}

/// Returns the gRPC status for `failure`.
pub fn status_of(failure: &Failure) -> Status {
    let metadata = MetadataMap::from_headers(headers_of(failure));
    Status::with_metadata(code_of(failure), failure.reason.clone(), metadata)
}

/// Returns the trailers with the verdict and the retry delay of `failure`.
pub fn headers_of(failure: &Failure) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(failure.verdict.as_str()));
    if let Remedy::Retry(after) = failure.remedy {
        headers.insert(RETRY_PUSHBACK_HEADER, HeaderValue::from(after.as_millis() as u64));
    }
    headers
}

/// Returns the failure for a status. A status without a verdict comes from the
/// connection or from another system. It gets [`Verdict::MayHaveRun`], and a
/// remedy that follows from its code.
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

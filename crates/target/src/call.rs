//! Calls to a runner.

use base::Name;
use bytes::Bytes;
use tonic::body::Body;

/// One attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path of the method.
    pub path: Name,
    /// Id of the attempt.
    pub attempt: Name,
    /// Caller's request id, set only for a call that may run at most once.
    pub once_id: Option<Name>,
    /// Instance that owns the runner.
    pub owner: Name,
    /// Term of the owner, as fencing token.
    pub term: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Request message with its gRPC length prefix.
    pub body: Bytes,
}

/// Response of a runner whose headers have arrived; its messages and trailers
/// follow in `body`.
#[derive(Debug)]
pub struct Reply {
    /// Response headers.
    pub headers: http::HeaderMap,
    /// Stream of the messages and trailers.
    pub body: Body,
}

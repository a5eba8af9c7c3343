//! Calls at a runner.

use base::Name;
use bytes::Bytes;
use tonic::body::Body;

/// A `Call` is one attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path of the method.
    pub path: Name,
    /// Id of the attempt.
    pub attempt: Name,
    /// Id that the caller gave, for a call that may run at most once.
    pub once: Option<Name>,
    /// The owner of the runner.
    pub owner: Name,
    /// The owner's term.
    pub term: u64,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// The request's message with its gRPC prefix.
    pub body: Bytes,
}

/// A `Reply` is the response of a runner: its head has arrived, its messages
/// and the trailers follow in `body`.
#[derive(Debug)]
pub struct Reply {
    /// Headers of the response.
    pub headers: http::HeaderMap,
    /// Messages and trailers.
    pub body: Body,
}

//! Messages on the wire.
//!
//! [`pb`] holds what is generated from the `.proto` files: the messages that
//! callers, operators, targets and the platform exchange with an instance.
//! [`Frame`] is what instances send each other. Types of the wire are kept
//! apart from those of the decisions and are converted at the edge.

mod convert;
mod frame;
mod status;

pub use frame::{CallReply, ForwardedCall, Frame, Heartbeat, PeerReply, PeerRequest, PeerResult};
pub use status::{
    ATTEMPT_HEADER, FenceHeaders, REQUEST_ID_HEADER, RETRY_PUSHBACK_HEADER, VERDICT_HEADER,
    failure_of, headers_of, status_of,
};

/// The encoded descriptors of all schemas.
pub const DESCRIPTORS: &[u8] = include_bytes!("gen/skylarkspan.v1.bin");

/// Number of the extension that holds the terms of a method.
pub const TERMS_FIELD: u32 = 51234;

/// Generated messages, clients and servers.
#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub)]
pub mod pb {
    include!("gen/skylarkspan.v1.rs");
}

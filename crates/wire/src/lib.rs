//! Messages that leave the process.
//!
//! Module [`pb`] is generated from the `.proto` files. It holds the messages
//! that callers, operators, targets and the platform exchange with an instance.
//! Instances send each other [`Frame`]s. Wire types are separate from the types
//! used for decisions, and are converted where messages enter or leave the
//! process.

mod convert;
mod frame;
mod status;

pub use frame::{CallReply, ForwardedCall, Frame, Heartbeat, PeerReply, PeerRequest, PeerResult};
pub use status::{
    ATTEMPT_HEADER, FenceHeaders, REQUEST_ID_HEADER, RETRY_PUSHBACK_HEADER, VERDICT_HEADER,
    failure_of, headers_of, status_of,
};

/// Encoded file descriptor set of the `.proto` files.
pub const DESCRIPTORS: &[u8] = include_bytes!("gen/skylarkspan.v1.bin");

/// Field number of the method option `terms`.
pub const TERMS_FIELD: u32 = 51234;

/// Generated messages, clients and servers.
#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub)]
pub mod pb {
    include!("gen/skylarkspan.v1.rs");
}

//! Frames between instances: CBOR values in WebSocket messages.
//!
//! The `rename` attributes keep the names that are sent to other instances.

use std::collections::BTreeMap;

use base::{Failure, Load, Name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame that each side sends.
    Hello {
        /// Name of the sender.
        instance: Name,
    },
    /// Summary sent at a regular interval, and at once after each change of the
    /// configuration. A link without heartbeats is considered broken.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Complete configuration, sent to an instance that has an older one.
    Config {
        /// Version of the configuration.
        version: u64,
        /// Configuration in its stored encoding.
        body: Bytes,
    },
    /// Request, which the receiver answers with a [`Frame::Reply`] of equal id.
    #[serde(rename = "Ask")]
    Request {
        /// Number of the request, unique on this link.
        id: u64,
        /// Request to process.
        ask: PeerRequest,
    },
    /// Reply to a [`Frame::Request`].
    #[serde(rename = "Answer")]
    Reply {
        /// Number of the request that this frame answers.
        id: u64,
        /// Outcome of the request.
        answer: PeerResult,
    },
}

/// Outcome of a [`PeerRequest`].
pub type PeerResult = Result<PeerReply, Failure>;

/// Summary that an instance sends to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the configuration that the sender uses.
    pub version: u64,
    /// Time since the last answer of the key-value service to the sender, in
    /// milliseconds.
    pub store_age_ms: u64,
    /// Load of the sender's runners, by service.
    pub loads: BTreeMap<Name, Load>,
    /// Whether the sender is draining before it leaves the cell.
    pub draining: bool,
}

/// Request between instances. Protobuf messages inside are in their protobuf
/// encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Submits a job to the placer of a region.
    Submit {
        /// Team to which the submitter's key belongs.
        team: Name,
        /// Region that places the job.
        region: Name,
        /// Encoded `SubmitRequest`.
        request: Bytes,
    },
    /// Returns the status of a job.
    Job {
        /// Team of the job.
        team: Name,
        /// Id of the job.
        job: Name,
    },
    /// Returns the status of all jobs of a team that the receiver places.
    Jobs {
        /// Team whose jobs are listed.
        team: Name,
    },
    /// Cancels a job.
    Cancel {
        /// Team of the job.
        team: Name,
        /// Id of the job.
        job: Name,
    },
    /// Returns the state of the receiver and of the targets that it owns.
    Status,
    /// Records, before a call starts, that the call may run. A second request for
    /// the same id fails as long as the record is kept.
    Admit {
        /// Region whose placer keeps the record.
        region: Name,
        /// Team of the caller.
        team: Name,
        /// Caller's request id of the call.
        request: Name,
    },
    /// Removes the record of a call that is known not to have run.
    Retract {
        /// Region whose placer keeps the record.
        region: Name,
        /// Team of the caller.
        team: Name,
        /// Caller's request id of the call.
        request: Name,
    },
    /// Routes a call to one of the runners that the receiver owns.
    Call(ForwardedCall),
}

/// Call that one instance received and forwards to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Path of the method.
    pub path: Name,
    /// Id of the attempt.
    pub attempt: Name,
    /// Caller's request id, set only for a call that may run at most once.
    #[serde(rename = "once")]
    pub once_id: Option<Name>,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Longest time that the call may wait for a slot, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// Request message with its gRPC length prefix.
    pub body: Bytes,
}

/// Complete response to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallReply {
    /// Response messages with their gRPC length prefixes.
    pub body: Bytes,
    /// gRPC status code that the runner returned.
    pub code: i32,
    /// Status message that the runner returned.
    pub message: String,
    /// Current load of the service at the replying instance.
    pub load: Load,
}

/// Reply to a successful [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Encoded protobuf message.
    Message(Bytes),
    /// Confirmation without content.
    Done,
    /// Response to a forwarded call.
    Call(CallReply),
}

/// Error of decoding a frame.
pub type DecodeError = ciborium::de::Error<std::io::Error>;

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Bytes {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("every frame can be encoded");
        out.into()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid frame, or if bytes are left over after
    /// the frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut rest = bytes;
        let frame = ciborium::from_reader(&mut rest)?;
        if rest.is_empty() { Ok(frame) } else { Err(DecodeError::Syntax(bytes.len() - rest.len())) }
    }
}

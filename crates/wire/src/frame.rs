//! Frames between instances, in CBOR over WebSocket messages.

use std::collections::BTreeMap;

use base::{Failure, Load, Name};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A `Frame` is one message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame of each side.
    Hello {
        /// Name of the sending instance.
        instance: Name,
    },
    /// Sent at a steady pace; its absence means that the link is silent.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// A whole configuration that the receiver lacks.
    Config {
        /// Version of the configuration.
        version: u64,
        /// The configuration as it is stored.
        body: Bytes,
    },
    /// A request that the receiver answers with the same number.
    #[serde(rename = "Ask")]
    Request {
        /// Number of the request on this link.
        id: u64,
        /// The request.
        ask: PeerRequest,
    },
    /// The answer to an [`Frame::Request`].
    #[serde(rename = "Answer")]
    Reply {
        /// Number of the request.
        id: u64,
        /// The answer or the failure.
        answer: PeerResult,
    },
}

/// The outcome of an [`PeerRequest`].
pub type PeerResult = Result<PeerReply, Failure>;

/// A `Heartbeat` is the summary that an instance sends to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// Age of the last answer from the key-value service, in milliseconds.
    pub store_age_ms: u64,
    /// How busy the sender's runners are, by service.
    pub loads: BTreeMap<Name, Load>,
    /// Whether the sender is about to leave.
    pub draining: bool,
}

/// An `PeerRequest` is a request between instances. Messages of the schemas travel in
/// their own encoding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Submit a job to the placer of a region.
    Submit {
        /// The team that the key of the submitter names.
        team: Name,
        /// The region that places the job.
        region: Name,
        /// A `SubmitRequest`.
        request: Bytes,
    },
    /// Get the status of a job.
    Job {
        /// The job's team.
        team: Name,
        /// Id of the job.
        job: Name,
    },
    /// Get the status of all jobs of a team that the receiver places.
    Jobs {
        /// The team.
        team: Name,
    },
    /// Cancel a job.
    Cancel {
        /// The job's team.
        team: Name,
        /// Id of the job.
        job: Name,
    },
    /// Get the state of the instance and of the targets it owns.
    Status,
    /// Record that a call may run, once and for all, before it starts.
    Admit {
        /// The region whose placer keeps the record.
        region: Name,
        /// The caller's team.
        team: Name,
        /// The caller's id of the call.
        request: Name,
    },
    /// Take back the record of a call that surely has not run.
    Retract {
        /// The region whose placer keeps the record.
        region: Name,
        /// The caller's team.
        team: Name,
        /// The caller's id of the call.
        request: Name,
    },
    /// Route a call to one of the receiver's own runners.
    Call(ForwardedCall),
}

/// A `ForwardedCall` is a call that another instance received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Path of the method.
    pub path: Name,
    /// Id of the attempt.
    pub attempt: Name,
    /// Id that the caller gave, for a call that may run at most once.
    pub once: Option<Name>,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Time for which the call may wait for a slot, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u64,
    /// The request's message with its gRPC prefix.
    pub body: Bytes,
}

/// A `CallReply` is the whole answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallReply {
    /// The response's messages with their gRPC prefixes.
    pub body: Bytes,
    /// The gRPC status that the runner gave.
    pub code: i32,
    /// The message of that status.
    pub message: String,
    /// How busy the answering instance is with the service now.
    pub load: Load,
}

/// A `PeerReply` is the answer to an [`PeerRequest`] that succeeded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// An encoded message of the schemas.
    Message(Bytes),
    /// The request was recorded.
    Done,
    /// The answer to a call.
    Call(CallReply),
}

/// Reasons why bytes are not a frame.
pub type DecodeError = ciborium::de::Error<std::io::Error>;

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Bytes {
        let mut out = Vec::new();
        ciborium::into_writer(self, &mut out).expect("a frame has only encodable parts");
        out.into()
    }

    /// Decodes a frame. Bytes after it are an error.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut rest = bytes;
        let frame = ciborium::from_reader(&mut rest)?;
        if rest.is_empty() { Ok(frame) } else { Err(DecodeError::Syntax(bytes.len() - rest.len())) }
    }
}

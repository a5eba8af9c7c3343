//! Events of a placer.

use std::{sync::Arc, time::Duration};

use base::Name;
use plan::{Batch, Listing, Pace, PaceAnswer, RequestLength, SpeedRecord, StartAnswer};
use work::{Config, Spec, StepKey, TaskKey};

use crate::{
    external::TargetList,
    link::{PeerFrame, PeerLink},
    placer::snapshot::RecordedNames,
};

/// Event processed by the loop of a placer.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job was accepted.
    Accepted(Name, Box<Spec>),
    /// A job was cancelled.
    Cancelled(Name),
    /// The list of targets has changed.
    TargetsChanged(TargetList),
    /// The list of targets was current at this time.
    TargetsConfirmed(Duration),
    /// The configuration has changed.
    ConfigChanged(Arc<Config>),
    /// The snapshot of the targets for the next placer was recorded; `None` if
    /// that failed.
    SnapshotRecorded(Option<RecordedNames>),
    /// The speeds of the targets were recorded; `None` if that failed.
    SpeedsRecorded(Option<SpeedRecord>),
    /// An order that grants a lease is about to be sent to a target.
    LeaseGranted {
        /// Name of the target.
        target: Name,
        /// Time from which the lease counts.
        at: Duration,
    },
    /// A target has taken a lease that may be longer than was granted.
    LeaseTaken {
        /// Name of the target.
        target: Name,
        /// Lease by the clock in the answer.
        lease: Duration,
        /// Time of the answer.
        at: Duration,
    },
    /// A target has another process than the one that orders were for.
    RestartSuspected {
        /// Name of the target.
        target: Name,
    },
    /// A target answered a lease renewal or a poll.
    TargetListed {
        /// Name of the target.
        target: Name,
        /// Time at which the request was sent.
        requested_at: Duration,
        /// Runs on the target.
        listing: Listing,
    },
    /// A target did not answer.
    TargetUnreachable {
        /// Name of the target.
        target: Name,
        /// Reason why there is no answer.
        reason: String,
    },
    /// A start order was answered, failed, or was not sent.
    StartAnswered {
        /// Name of the target.
        target: Name,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Answer of the target.
        answer: StartAnswer,
    },
    /// A target has acknowledged a stop order.
    StopAnswered {
        /// Name of the target.
        target: Name,
        /// Task of the run.
        task: TaskKey,
        /// Number of the run.
        run: u32,
    },
    /// A pace order was answered or failed.
    PaceAnswered {
        /// The order.
        pace: Pace,
        /// Answer of the target.
        answer: PaceAnswer,
    },
    /// The link of an instance was opened.
    PeerJoined(PeerLink),
    /// An instance sent a frame.
    FrameReceived(Name, PeerFrame),
    /// The link of an instance was closed.
    PeerLeft(Name),
    /// The advice request with this number was not answered in time.
    AdviceTimedOut(u64),
    /// Progress was recorded.
    ProgressRecorded {
        /// Progress that was recorded.
        batch: Batch,
        /// Time that the write took.
        duration: Duration,
    },
    /// Progress could not be recorded.
    ProgressNotRecorded(Batch),
    /// Another instance leads; contains the evidence.
    Fenced(&'static str),
}

/// Advice request that is assigned to an instance and not answered yet.
#[derive(Debug)]
pub(crate) struct AssignedRequest {
    pub(crate) step: StepKey,
    pub(crate) targets: Vec<Name>,
    pub(crate) cost_us: u64,
    pub(crate) length: RequestLength,
    /// Instance that forwards the request to the advice service.
    pub(crate) peer: Name,
}

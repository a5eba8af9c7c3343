//! What happens to a placer.

use std::{sync::Arc, time::Duration};

use base::Name;
use plan::{AskLength, Batch, Listing, StartAnswer};
use work::{Config, Spec, StepKey, TaskKey};

use crate::{
    external::TargetList,
    link::{PeerFrame, PeerLink},
    placer::snapshot::RecordedNames,
};

/// An `Event` is something that a placer takes in.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job was accepted.
    Accepted(Name, Box<Spec>),
    /// A job was cancelled.
    Cancelled(Name),
    /// The list of targets has changed.
    TargetsChanged(TargetList),
    /// The configuration has changed.
    ConfigChanged(Arc<Config>),
    /// What the next placer has to know of the targets was recorded, or could
    /// not be.
    SnapshotRecorded(Option<RecordedNames>),
    /// A target answered what it runs.
    TargetListed {
        /// The target.
        target: Name,
        /// When it was asked.
        asked_at: Duration,
        /// When it was granted a lease with that; `None` if it wasn't.
        granted_at: Option<Duration>,
        /// The answer.
        listing: Listing,
    },
    /// A target did not answer.
    TargetSilent {
        /// The target.
        target: Name,
        /// When it may have been granted a lease all the same.
        granted_at: Option<Duration>,
        /// Why.
        reason: String,
    },
    /// A start was answered, or surely not in time.
    StartAnswered {
        /// The target.
        target: Name,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// The answer.
        answer: StartAnswer,
    },
    /// A target has taken note of a stop.
    StopAnswered {
        /// The target.
        target: Name,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
    },
    /// An instance's link was opened.
    PeerJoined(PeerLink),
    /// An instance sent a frame.
    FrameReceived(Name, PeerFrame),
    /// An instance's link was closed.
    PeerLeft(Name),
    /// Advice was not answered in time.
    AdviceTimedOut(u64),
    /// Progress was recorded.
    ProgressRecorded {
        /// What.
        batch: Batch,
        /// Time that it took.
        duration: Duration,
    },
    /// Progress could not be recorded.
    ProgressNotRecorded(Batch),
    /// Another instance leads.
    Fenced(&'static str),
}

/// An `Asked` is a request for advice that is under way.
#[derive(Debug)]
pub(crate) struct AdviceRequest {
    pub(crate) step: StepKey,
    pub(crate) targets: Vec<Name>,
    pub(crate) cost_us: u64,
    pub(crate) length: AskLength,
    /// The instance that asks.
    pub(crate) peer: Name,
}

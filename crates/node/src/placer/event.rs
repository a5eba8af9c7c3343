//! What happens to a placer.

use std::{sync::Arc, time::Duration};

use base::Name;
use plan::{Batch, Listing, RequestLength, StartAnswer};
use work::{Config, Spec, StepKey, TaskKey};

use crate::{
    edge::Listed,
    link::{Joined, Up},
    placer::holding::Names,
};

/// An `Event` is something that a placer takes in.
#[derive(Debug)]
pub(crate) enum Event {
    /// A job was accepted.
    Accepted(Name, Box<Spec>),
    /// A job was cancelled.
    Cancelled(Name),
    /// The list of targets has changed.
    Targets(Listed),
    /// The configuration has changed.
    Config(Arc<Config>),
    /// What the next placer has to know of the targets was recorded, or could
    /// not be.
    Held(Option<Names>),
    /// A target answered what it runs.
    Listed {
        /// The target.
        target: Name,
        /// When it was asked.
        asked: Duration,
        /// When it was granted a lease with that; `None` if it wasn't.
        granted: Option<Duration>,
        /// The answer.
        listing: Listing,
    },
    /// A target did not answer.
    Silent {
        /// The target.
        target: Name,
        /// When it may have been granted a lease all the same.
        granted: Option<Duration>,
        /// Why.
        why: String,
    },
    /// A start was answered, or surely not in time.
    Started {
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
    Stopped {
        /// The target.
        target: Name,
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
    },
    /// An instance's link was opened.
    Joined(Joined),
    /// An instance sent a frame.
    Up(Name, Up),
    /// An instance's link was closed.
    Left(Name),
    /// Advice was not answered in time.
    Unadvised(u64),
    /// Progress was recorded.
    Recorded {
        /// What.
        batch: Batch,
        /// Time that it took.
        took: Duration,
    },
    /// Progress could not be recorded.
    NotRecorded(Batch),
    /// Another instance leads.
    Fenced(&'static str),
}

/// An `Asked` is a request for advice that is under way.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) step: StepKey,
    pub(crate) targets: Vec<Name>,
    pub(crate) cost_us: u64,
    pub(crate) length: RequestLength,
    /// The instance that asks.
    pub(crate) helper: Name,
}

//! What others tell a placer.

use std::time::Duration;

use base::{Name, Result};
use target::{AttemptId, Control, Report, Start, StartOutcome};
use tokio::sync::oneshot;
use wire::{Tell, pb};

/// The way to answer a request.
pub(crate) type Reply = oneshot::Sender<Result<Tell>>;

/// A `Command` is what others tell a placer.
#[derive(Debug)]
pub enum Command {
    /// Submit a job.
    Submit {
        /// The submitter's team.
        team: Name,
        /// The job.
        request: Box<pb::SubmitRequest>,
        /// Gets a `SubmitReply` once the job is recorded.
        reply: Reply,
    },
    /// Get the status of a job.
    Job {
        /// The job's team.
        team: Name,
        /// Id of the job.
        job: Name,
        /// Gets a `JobStatus`.
        reply: Reply,
    },
    /// Get the status of all jobs of a team.
    Jobs {
        /// The team.
        team: Name,
        /// Gets a `ListJobsReply`.
        reply: Reply,
    },
    /// Cancel a job.
    Cancel {
        /// The job's team.
        team: Name,
        /// Id of the job.
        job: Name,
        /// Gets a `JobStatus` once the cancellation is recorded.
        reply: Reply,
    },
    /// Record that a call may run.
    Admit {
        /// The caller's team.
        team: Name,
        /// The caller's id of the call.
        request: Name,
        /// Gets `Done` once the call is recorded.
        reply: Reply,
    },
    /// Take back the record of a call that surely has not run.
    Retract {
        /// The caller's team.
        team: Name,
        /// The caller's id of the call.
        request: Name,
    },
    /// Get the state of the region's workers.
    Status {
        /// Gets the states.
        reply: oneshot::Sender<Vec<pb::TargetStatus>>,
    },
    /// A worker reported its state.
    Report {
        /// The worker.
        worker: Name,
        /// Its state.
        report: Box<Report>,
    },
    /// A worker answered to starts.
    StartResults {
        /// The worker.
        worker: Name,
        /// On the worker's clock; after it the starts have no effect any more.
        not_after: Duration,
        /// What it said.
        results: Vec<(AttemptId, StartResult)>,
    },
    /// A worker doesn't answer.
    Silent {
        /// The worker.
        worker: Name,
    },
    /// The lease of a silent worker has surely lapsed.
    Lapsed {
        /// The worker.
        worker: Name,
    },
    /// A worker has seen a higher term: this placer is over.
    Fenced {
        /// The worker.
        worker: Name,
    },
}

/// A `StartResult` is what is known of a start after it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker answered.
    Answered(StartOutcome),
    /// The start was surely not sent, or was refused unread.
    NotRun,
    /// The start may have taken effect or may still do so.
    Unknown,
}

/// What a placer tells the task of a worker's connection.
#[derive(Debug)]
pub(crate) enum WorkerCommand {
    /// Start attempts.
    Start(Vec<Start>),
    /// Act on attempts.
    Control(Control),
    /// Forget attempts whose ends are recorded.
    Forget(Vec<AttemptId>),
}

//! Commands to a placer and from a placer to its workers' connections.

use std::time::Duration;

use base::{Name, Result};
use target::{AttemptId, Control, Report, Start, StartOutcome};
use tokio::sync::oneshot;
use wire::{PeerReply, pb};

/// Channel for the answer to a request.
pub(crate) type Reply = oneshot::Sender<Result<PeerReply>>;

/// Request or event for a placer.
#[derive(Debug)]
pub enum Command {
    /// Submit a job.
    Submit {
        /// Team of the submitter.
        team: Name,
        /// Submission with the job.
        request: Box<pb::SubmitRequest>,
        /// Receives a `SubmitReply` once the job is recorded.
        reply: Reply,
    },
    /// Get the status of a job.
    Job {
        /// Team of the job.
        team: Name,
        /// Id of the job.
        job: Name,
        /// Receives a `JobStatus`.
        reply: Reply,
    },
    /// Get the status of all jobs of a team.
    Jobs {
        /// Team whose jobs are listed.
        team: Name,
        /// Receives a `ListJobsReply`.
        reply: Reply,
    },
    /// Cancel a job.
    Cancel {
        /// Team of the job.
        team: Name,
        /// Id of the job.
        job: Name,
        /// Receives a `JobStatus` once the cancellation is recorded.
        reply: Reply,
    },
    /// Record a call that may run at most once.
    Admit {
        /// Team of the caller.
        team: Name,
        /// Id that the caller gave the call.
        request: Name,
        /// Receives `Done` once the call is recorded.
        reply: Reply,
    },
    /// Remove the record of a call that certainly has not run.
    Retract {
        /// Team of the caller.
        team: Name,
        /// Id that the caller gave the call.
        request: Name,
    },
    /// Get the state of the region's workers.
    Status {
        /// Receives the states.
        reply: oneshot::Sender<Vec<pb::TargetStatus>>,
    },
    /// Report of a worker's state.
    Report {
        /// Name of the worker.
        worker: Name,
        /// State of the worker.
        report: Box<Report>,
    },
    /// Outcome of starts that were sent to a worker.
    StartResults {
        /// Name of the worker.
        worker: Name,
        /// Time on the worker's clock after which the starts have no effect any
        /// more.
        not_after: Duration,
        /// Result of each start.
        results: Vec<(AttemptId, StartResult)>,
    },
    /// A worker has not answered for the configured time.
    Silent {
        /// Name of the worker.
        worker: Name,
    },
    /// The lease of a silent worker has certainly lapsed.
    Lapsed {
        /// Name of the worker.
        worker: Name,
    },
    /// A worker has accepted a higher term, so this placer has been replaced.
    Fenced {
        /// Name of the worker.
        worker: Name,
    },
}

/// Result of sending a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartResult {
    /// The worker answered.
    Answered(StartOutcome),
    /// The start was certainly not sent, or the worker rejected the request
    /// before reading the start.
    NotRun,
    /// The start may have taken effect or may still do so.
    Unknown,
}

/// Command of a placer to the connection of a worker.
#[derive(Debug)]
pub(crate) enum WorkerCommand {
    /// Start attempts.
    Start(Vec<Start>),
    /// Act on attempts.
    Control(Control),
    /// Forget attempts whose ends are recorded.
    Forget(Vec<AttemptId>),
}

//! The keys of the nodes in the key-value service.

use base::Name;

/// The leader, tied to its lease.
pub(crate) const LEADER: &str = "skylarkspan/lead";

/// The number of the last term.
pub(crate) const TERM: &str = "skylarkspan/term";

/// What is written anew after a change without an answer.
pub(crate) const GUARD: &str = "skylarkspan/guard";

/// The targets that runs may be on.
pub(crate) const HELD: &str = "skylarkspan/held";

/// The targets that get no work for now, with all runs that may be on them.
pub(crate) const CLOSED: &str = "skylarkspan/closed";

/// Accepted jobs and their cancellations, written by fronts.
pub(crate) const JOBS: &str = "skylarkspan/in/";

/// Progress of jobs, written by the placer.
pub(crate) const PROGRESS: &str = "skylarkspan/out/";

const CANCELLED_SUFFIX: &str = "/cancelled";

/// Gets the key of an accepted job.
pub(crate) fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Gets the key that says that a job is cancelled.
pub(crate) fn cancellation(id: &str) -> String {
    format!("{JOBS}{id}{CANCELLED_SUFFIX}")
}

/// Gets the key of a job's progress.
pub(crate) fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// A `JobKey` is what a key below [`JOBS`] stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// An accepted job.
    Accepted(Name),
    /// The cancellation of a job.
    Cancelled(Name),
}

impl JobKey {
    /// Reads a key; `None` if it is none of ours.
    pub(crate) fn parse(key: &str) -> Option<Self> {
        let id = key.strip_prefix(JOBS)?;
        match id.strip_suffix(CANCELLED_SUFFIX) {
            Some(id) => Some(Self::Cancelled(Name::from(id))),
            None => Some(Self::Accepted(Name::from(id))),
        }
    }
}

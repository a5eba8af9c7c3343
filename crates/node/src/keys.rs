//! Keys of the nodes in the key-value service.

use base::Name;

/// Current leader; the key is tied to the leader's lease.
pub(crate) const LEADER: &str = "skylarkspan/lead";

/// Number of the last term.
pub(crate) const TERM: &str = "skylarkspan/term";

/// Fencing key of the leader's writes; rewritten after a write that was not
/// answered.
pub(crate) const GUARD: &str = "skylarkspan/guard";

/// Targets that runs may be on.
pub(crate) const HELD: &str = "skylarkspan/held";

/// Targets that get no new work for now, with all runs that may be on them.
pub(crate) const CLOSED: &str = "skylarkspan/closed";

/// Usual speeds of the targets, if these differ.
pub(crate) const SPEEDS: &str = "skylarkspan/speeds";

/// Prefix of accepted jobs and their cancellations, written by the frontends.
pub(crate) const JOBS: &str = "skylarkspan/in/";

/// Prefix of the progress of jobs, written by the placer.
pub(crate) const PROGRESS: &str = "skylarkspan/out/";

const CANCELLED_SUFFIX: &str = "/cancelled";

/// Returns the key of an accepted job.
pub(crate) fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key that marks a job as cancelled.
pub(crate) fn cancellation(id: &str) -> String {
    format!("{JOBS}{id}{CANCELLED_SUFFIX}")
}

/// Returns the key of a job's progress.
pub(crate) fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// Parsed key below [`JOBS`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// An accepted job.
    Accepted(Name),
    /// The cancellation of a job.
    Cancelled(Name),
}

impl JobKey {
    /// Parses a key; `None` if the key is not below [`JOBS`].
    pub(crate) fn parse(key: &str) -> Option<Self> {
        let id = key.strip_prefix(JOBS)?;
        match id.strip_suffix(CANCELLED_SUFFIX) {
            Some(id) => Some(Self::Cancelled(Name::from(id))),
            None => Some(Self::Accepted(Name::from(id))),
        }
    }
}

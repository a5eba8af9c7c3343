//! Errors of requests to the platform.

use snafu::Snafu;

/// Result of a request to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a request, classified by how the caller can recover.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The request had no effect and can be sent again.
    #[snafu(display("not run: {reason}"))]
    NotRun {
        /// Cause of the error.
        reason: String,
    },
    /// The request may have taken effect. Reading back shows whether it has.
    #[snafu(display("may have run: {reason}"))]
    Unknown {
        /// Cause of the error.
        reason: String,
    },
    /// The requested part of the change history is no longer available. The caller
    /// has to read the current entries instead.
    #[snafu(display("the history is no longer kept"))]
    Forgotten,
    /// The lease has expired. The caller needs a new one.
    #[snafu(display("the lease has lapsed"))]
    Lapsed,
}

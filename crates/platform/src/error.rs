//! Failures of the platform.

use snafu::Snafu;

/// A `Result` of a request to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An `Error` is sorted by what the caller can do next.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The request had no effect: send it again.
    #[snafu(display("not run: {reason}"))]
    NotRun {
        /// The cause.
        reason: String,
    },
    /// The request may have taken effect: read back.
    #[snafu(display("may have run: {reason}"))]
    Unknown {
        /// The cause.
        reason: String,
    },
    /// The history that was asked for is no longer kept: read anew.
    #[snafu(display("the history is no longer kept"))]
    Forgotten,
    /// The lease has lapsed: take a new one.
    #[snafu(display("the lease has lapsed"))]
    Lapsed,
}

//! Errors of commands and their exit codes.

use base::{Failure, Remedy, Verdict};
use snafu::Snafu;
use wire::failure_of;

/// Result of a command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason for the failure of a command.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line or a file that it names is invalid.
    #[snafu(display("{reason}"))]
    Usage {
        /// Description of the fault.
        reason: String,
    },
    /// The request failed.
    #[snafu(display("{failure}{}", retry_hint(failure)))]
    Request {
        /// Failure reported by the instance or by the connection to it.
        failure: Failure,
    },
    /// The request was answered, but a job did not succeed or has not ended in time.
    #[snafu(display("{reason}"))]
    Outcome {
        /// Description of the outcome.
        reason: String,
    },
}

impl Error {
    /// Creates the error of an invalid command line or file.
    pub fn usage(reason: impl ToString) -> Self {
        Self::Usage { reason: reason.to_string() }
    }

    /// Returns the exit code of the process: 1 for [`Error::Outcome`], 2 for
    /// [`Error::Usage`], and for [`Error::Request`] 3 if the request has not run, 4 if
    /// the request may have run and 5 if the request has run.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Outcome { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Request { failure } => match failure.verdict {
                Verdict::NotRun => 3,
                Verdict::MayHaveRun => 4,
                Verdict::Ran => 5,
            },
        }
    }
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Self::Request { failure: failure_of(&status) }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        Self::Request { failure }
    }
}

fn retry_hint(failure: &Failure) -> String {
    match failure.remedy {
        Remedy::Retry(delay) => format!("; retry after {} ms", delay.as_millis()),
        _ => String::new(),
    }
}

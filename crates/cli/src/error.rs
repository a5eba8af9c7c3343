//! Failures of a command and their exit codes.

use base::{Failure, Remedy, Verdict};
use snafu::Snafu;
use wire::failure_of;

/// A `Result` of a command.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An `Error` is why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line or a file is wrong.
    #[snafu(display("{reason}"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// The request failed.
    #[snafu(display("{failure}{}", after(failure)))]
    Request {
        /// What the instance said.
        failure: Failure,
    },
    /// The answer says that something did not succeed.
    #[snafu(display("{reason}"))]
    Outcome {
        /// What did not succeed.
        reason: String,
    },
}

impl Error {
    /// Makes the error of a wrong command line or file.
    pub fn usage(reason: impl ToString) -> Self {
        Self::Usage { reason: reason.to_string() }
    }

    /// Gets the exit code: 1 if something did not succeed, 2 for wrong usage, 3
    /// if the request has not run, 4 if it may have, 5 if it has.
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

fn after(failure: &Failure) -> String {
    match failure.remedy {
        Remedy::Retry(after) => format!("; try again after {} ms", after.as_millis()),
        _ => String::new(),
    }
}

//! The edge towards workers and runners.
//!
//! A [`Link`] is the connection to one target and a [`Connector`] opens it.
//! Another protocol of the targets is one new module with an implementation of
//! both. [`grpc`] is the one for `target.proto`.

mod call;
pub mod grpc;
mod link;
mod report;

pub use call::{Call, Reply};
pub use link::{Claim, Connector, Control, ControlAction, Link, Stamp, Start, StartOutcome};
pub use report::{Attempt, AttemptId, AttemptState, Report};

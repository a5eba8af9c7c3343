//! Interface to the targets: workers and runners.
//!
//! A [`Link`] is the connection to one target, and a [`Connector`] opens links.
//! Support for another protocol needs one new module that implements both
//! traits. Module [`grpc`] implements them for `target.proto`.

mod call;
pub mod grpc;
mod link;
mod report;

pub use call::{Call, Reply};
pub use link::{Claim, Connector, Control, ControlAction, Link, Stamp, Start, StartOutcome};
pub use report::{Attempt, AttemptId, AttemptState, Report};

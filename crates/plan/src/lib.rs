//! The decisions of the placer.
//!
//! A [`Planner`] is the exact account of one cell: its targets, what may be
//! running on each of them, and the jobs that wait. It has no network and no
//! clock. What happens is told by its methods, each with the time at which it
//! happened; [`Planner::decide`] places what can be placed, and
//! [`Planner::take_actions`] gets what is to be done about it.
//!
//! A run counts against its target, its team and its task from the moment
//! that its start is decided until it surely isn't running: the target lists
//! its end, or answers without it after the start was settled, or its lease has
//! lapsed for certain.

mod action;
mod admit;
mod adopt;
mod batch;
mod decide;
mod ends;
mod job;
mod listing;
mod permission;
mod planner;
mod preempt;
mod progress;
mod advice;
mod rank;
mod settings;
mod share;
mod speed;
mod step;
mod target;

pub use action::{Action, AdviceRequest, RequestLength, Start, Stop, StopCause};
pub use admit::Overload;
pub use adopt::{ClosedTarget, UNKNOWN_TARGETS};
pub use batch::{Batch, Record, Retention};
pub use listing::{ListedRun, Listing, Refusal, RunEnd, StartAnswer};
pub use planner::Planner;
pub use rank::job_objective_ms;
pub use settings::{Preemption, Settings};
pub use target::{Availability, TargetId, TargetInfo};

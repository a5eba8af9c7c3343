//! The decisions of the placer.
//!
//! A [`Board`] is the exact account of one cell: its targets, what may be
//! running on each of them, and the jobs that wait. It has no network and no
//! clock. What happens is told by its methods, each with the time at which it
//! happened; [`Board::decide`] places what can be placed, and
//! [`Board::take_actions`] gets what is to be done about it.
//!
//! A run counts against its target, its team and its task from the moment
//! that its start is decided until it surely isn't running: the target lists
//! its end, or answers without it after the start was settled, or its lease has
//! lapsed for certain.

mod action;
mod admit;
mod adopt;
mod ask;
mod batch;
mod board;
mod decide;
mod ends;
mod job;
mod listing;
mod permission;
mod preempt;
mod progress;
mod rank;
mod settings;
mod share;
mod speed;
mod step;
mod target;

pub use action::{Action, Ask, AskLength, Start, Stop, StopCause};
pub use admit::Overload;
pub use adopt::{Closed, UNKNOWN_TARGETS};
pub use batch::{Batch, Need, Record};
pub use board::Board;
pub use listing::{Listing, Refusal, RunEnd, RunSeen, StartAnswer};
pub use rank::job_objective_ms;
pub use settings::{Preemption, Settings};
pub use target::{Availability, Facts, TargetId};

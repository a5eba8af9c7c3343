//! Scheduling decisions of the placer.
//!
//! A [`Planner`] holds the exact state of one cell: its targets, the runs that
//! may exist on each of them, and the waiting jobs. It uses neither network nor
//! clock: the caller reports each event through a method, with the time of the
//! event. [`Planner::decide`] then places waiting tasks, and
//! [`Planner::take_actions`] returns the orders and requests to send.
//!
//! A run is charged to its target, its team and its task from the decision to
//! start it until it is certain that it does not exist: the target lists its
//! end, the target answers the start or a stop of the run and lacks the run in a
//! listing requested later, or the lease of the target has expired.

mod action;
mod admit;
mod adopt;
mod advice;
mod batch;
mod blame;
mod cold;
mod control;
mod crash;
mod decide;
mod ends;
mod evacuation;
mod eviction;
mod interference;
mod job;
mod lifecycle;
mod listing;
mod pace;
mod permission;
mod planner;
mod preempt;
mod probe;
mod progress;
mod rank;
mod reappeared;
mod recovery;
mod restarts;
mod round;
mod search;
mod settings;
mod settled;
mod share;
mod sharing;
mod slot;
mod speed;
mod starved;
mod step;
mod target;
mod unverified;

pub use action::{Action, AdviceRequest, Pace, RequestLength, Start, Stop, StopCause};
pub use admit::Overload;
pub use adopt::{ClosedTarget, UNKNOWN_TARGETS};
pub use batch::{Batch, Record, Retention};
pub use blame::Blame;
pub use control::ControlStatus;
pub use crash::{Crash, Verdict};
pub use ends::{Evidence, ReleasedRun};
pub use evacuation::EvacuationChange;
pub use interference::Claim;
pub use listing::{ListedRun, Listing, Refusal, RunEnd, StartAnswer};
pub use pace::PaceAnswer;
pub use place::Transition;
pub use planner::Planner;
pub use probe::{Probe, Soundness};
pub use rank::job_objective_ms;
pub use reappeared::ReappearedRun;
pub use recovery::{Holding, Recovery};
pub use restarts::ProcessRecord;
pub use settings::{Interference, Preemption, Settings};
pub use speed::record::{QueueBaseline, SpeedRecord, TargetSpeed};
pub use target::{Availability, RecordedEnd, TargetId, TargetInfo};

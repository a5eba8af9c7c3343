//! The placer of a region, for one term.
//!
//! A placer is one task that owns the account of the region's workers and
//! jobs. It records a start in the ledger before it sends it, so a later placer
//! knows every attempt that may run, and where. What runs it reads from the
//! workers.

mod account;
mod admissions;
mod command;
mod decide;
mod health;
mod job;
mod limits;
mod list;
mod page;
mod preempt;
mod registry;
mod reports;
mod reserve;
mod run;
mod spec;
mod state;
mod submit;
mod worker;

pub use command::{Command, StartResult};
pub use registry::Placers;

pub(crate) use command::WorkerCommand;
pub(crate) use registry::reconcile_placers;

//! Placer of a region, for one term.
//!
//! A placer is one asynchronous task that owns all state of the region's
//! workers and jobs. A start is recorded in the ledger before it is sent, so
//! that a later placer knows every attempt that may run, and on which worker.
//! Which attempts do run is read from the reports of the workers.

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

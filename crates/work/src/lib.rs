//! Jobs made of steps.
//!
//! [`Spec`] describes a submitted job, [`Config`] holds the rules that govern
//! jobs, and [`Progress`] is the stored progress of a job. All are plain
//! values, stored through serde as CBOR.

mod config;
mod evacuations;
mod progress;
mod record;
mod spec;
mod state;

pub use config::{Advice, Config, Limits, Policy, Queue, Service, Team};
pub use evacuations::Evacuations;
pub use progress::{Progress, StepProgress};
pub use record::{DecodeError, decode, encode};
pub use spec::{MAX_TASKS, Schedule, Spec, Step, StepKey, TaskKey};
pub use state::{End, JobState};

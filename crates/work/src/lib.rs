//! Jobs of steps.
//!
//! [`Spec`] is what is submitted, [`Config`] is what governs it, and
//! [`Progress`] is what is recorded of it. All are plain values; the forms in
//! which they are stored are the serde forms in CBOR.

mod config;
mod progress;
mod record;
mod spec;
mod state;

pub use config::{Advice, Config, Limits, Policy, Queue, Service, Team};
pub use progress::{Progress, StepProgress};
pub use record::{DecodeError, decode, encode};
pub use spec::{Schedule, Spec, Step, StepKey, TaskKey};
pub use state::{End, JobState};

//! Shared vocabulary of all crates: units, names, verdicts, time and log
//! events.
//!
//! This crate knows nothing of the others. Everything in it is a small value
//! or a thin service over the runtime.

pub mod clock;
mod event;
mod level;
mod load;
mod name;
mod timer;
mod units;
mod verdict;

pub use event::Event;
pub use level::Level;
pub use load::Load;
pub use name::Name;
pub use timer::{Ticker, Timer};
pub use units::Resources;
pub use verdict::{Failure, Remedy, Result, Verdict};

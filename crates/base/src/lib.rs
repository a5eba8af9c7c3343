//! Types shared by all crates: units, names, failures, clocks and log events.
//!
//! This crate depends on no other crate of the workspace. It holds small value
//! types and thin wrappers around the async runtime.

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

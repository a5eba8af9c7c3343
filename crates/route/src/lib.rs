//! Routing of calls.
//!
//! A [`Router`] is the exact account of the slots of the runners that an
//! instance owns. A call gets a [`Permit`] for one slot or waits for it in a
//! bounded queue, in the order of urgency and age. A [`Budget`] bounds
//! retries, and a [`Limiter`] the calls of each team.

mod budget;
mod limiter;
mod queue;
mod router;
mod table;

pub use budget::Budget;
pub use limiter::{Admission, Limiter};
pub use queue::Discipline;
pub use router::{Permit, Router, SlotRequest};
pub use table::Runner;

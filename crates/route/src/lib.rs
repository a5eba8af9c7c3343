//! Routing of calls.
//!
//! A [`Router`] tracks the slots of the runners that an instance owns. A call
//! gets a [`Permit`] for one slot or waits for one in a bounded queue, ordered
//! by urgency and age. A [`Budget`] limits retries, and a [`Limiter`] the
//! concurrent calls of each team.

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

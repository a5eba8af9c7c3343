//! Budgets for clients that aren't controlled.
//!
//! A [`Budget`] derives from the instance's memory and descriptors how many
//! connections each port may have and how many bytes of requests may be held. A
//! [`Ledger`] keeps the account and decides whom to refuse or disconnect; it has
//! neither network nor clock. A [`Gate`] shares one ledger between the ports of a
//! process, a [`Pass`] stands for one connection, [`Metered`] reports what is read
//! from it, and a [`Body`] charges a request body before it is read.
//!
//! docs/design/untrusted-clients.md has the reasons and the figures.

mod body;
mod budget;
mod gate;
mod ledger;
mod metered;

pub use body::{Body, Held, MIN_STEP_RECORD_BYTES};
pub use budget::{Budget, Port, RECEIVE_BUFFER_BYTES};
pub use gate::{Gate, Pass};
pub use ledger::{Charge, Id, Ledger, Refusal};
pub use metered::Metered;

//! The edge towards the platform.
//!
//! [`Store`] and [`Fleet`] are what the scheduler needs of the platform.
//! Another protocol of the platform is one new module with an implementation
//! of them. [`grpc`] is the one for `kv.proto` and `fleet.proto`.

mod error;
mod fleet;
pub mod grpc;
mod store;
mod transactional;
mod write;

pub use error::{Error, Result};
pub use fleet::{Fleet, Instance, Kind};
pub use store::{Entry, Event, Lease, Revision, Store, Swap};
pub use transactional::{Changes, Commit, CommitOutcome, Page, TransactionalStore, Write};
pub use write::{Outcome, write};

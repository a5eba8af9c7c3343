//! Interfaces to the platform.
//!
//! [`Store`], [`TransactionalStore`] and [`Fleet`] are the services that the
//! scheduler needs from the platform. Each protocol of the platform is a module
//! that implements them; [`grpc`] implements [`Store`] and [`Fleet`] for
//! `kv.proto` and `fleet.proto`.

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

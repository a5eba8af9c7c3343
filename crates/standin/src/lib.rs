//! Stand-ins for the scheduler's external systems: the platform's key-value
//! service and list of instances, workers and runners.
//!
//! A [`World`] serves all of them from one process over the network. [`Faults`]
//! can be switched on for each of them. An [`Observer`] counts what happens on
//! the targets, independently of the scheduler.
//!
//! [`cell`] has in-process stand-ins for the external services of a node, as
//! implementations of the node's traits.

pub mod cell;
mod certificates;
mod fault;
mod fleet;
mod layout;
mod listen;
mod observer;
mod runner;
mod stall;
mod stamp;
mod store;
mod store_service;
mod worker;
mod world;

pub use certificates::write_certificates;
pub use fault::{Fault, Faults};
pub use layout::{Group, Layout};
pub use observer::{Counts, Observer};
pub use world::World;

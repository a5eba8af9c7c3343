//! Stand-ins for what lies outside the scheduler: the platform's key-value
//! service and list of instances, workers and runners.
//!
//! A [`World`] runs all of them in one process. Faults can be turned on, and an
//! observer records what the targets did, without asking the scheduler.
//!
//! [`cell`] has the stand-ins for what a node meets, at the traits of its edges.

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

//! In-process stand-ins for the external services of a node.
//!
//! A [`World`] consists of a key-value service ([`store`]) and targets
//! ([`targets`]). Both can be given faults, and the targets record each
//! violation of the scheduler's guarantees. [`simulation`] runs a whole day on
//! the placer's decisions alone, without nodes.

pub mod interference;
pub mod simulation;
pub mod store;
pub mod targets;
mod world;

pub use world::{World, policy};

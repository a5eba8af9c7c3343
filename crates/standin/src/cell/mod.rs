//! Stand-ins for what a node of a cell meets, within one process.
//!
//! A [`World`] has a key-value service ([`store`]) and targets ([`targets`])
//! with faults, and writes down each broken promise that the targets see. A
//! whole day can be played on the decisions alone ([`simulation`]).

pub mod simulation;
pub mod store;
pub mod targets;
mod world;

pub use world::{World, policy};

//! Schemas in which operators describe the calls to a system.
//!
//! A schema is a set of file descriptors. Each unary method in it becomes a
//! [`Method`], whose terms come from the standard `idempotency_level` option
//! and from the options of `skylarkspan/v1/options.proto`.

mod compat;
mod method;

pub use compat::{BreakingChange, breaking_changes};
pub use method::{Access, Method, Urgency, parse};

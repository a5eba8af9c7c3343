//! Schemas that describe the methods which callers can call.
//!
//! Operators upload a schema as a set of protobuf file descriptors. Each of its
//! methods becomes a [`Method`], whose terms come from the standard
//! `idempotency_level` option and from the options in
//! `skylarkspan/v1/options.proto`. Streaming methods are not supported.

mod compat;
mod method;

pub use compat::{BreakingChange, breaking_changes};
pub use method::{Access, Method, Urgency, parse};

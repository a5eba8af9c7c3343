//! A rig of daemons and stand-ins for tests and experiments.
//!
//! A [`Rig`] runs the stand-ins in its own process and each entry instance as a
//! process of its own, all on loopback. Instances reach each other and the
//! platform through [`Proxy`]s that can be cut. [`Client`] talks to an instance
//! as a caller, submitter or operator does.

mod client;
mod ports;
mod proxy;
mod rig;
mod settings;

pub use client::{Client, Text};
pub use proxy::Proxy;
pub use rig::{Instance, Options, Rig, Security, binary_path};
pub use settings::merge_settings;

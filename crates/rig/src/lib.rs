//! Test rig that runs daemons against stand-ins, for tests and experiments.
//!
//! A [`Rig`] runs the stand-ins inside the test process and each entry instance
//! as a child process, all on loopback addresses. Instances connect to each other
//! and to the platform through [`Proxy`]s, which can simulate a network partition.
//! [`Client`] sends requests to one instance as a caller, submitter or operator.

mod client;
mod ports;
mod proxy;
mod rig;
mod settings;

pub use client::{Client, Text};
pub use proxy::Proxy;
pub use rig::{Instance, Options, Rig, Security, binary_path};
pub use settings::merge_settings;

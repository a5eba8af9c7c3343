//! The daemon of an entry instance.
//!
//! Modules are laid out by how long what they hold lives: [`process`] from
//! start to stop, [`version`] for one version of the configuration or one term
//! of an ownership, [`connection`] for one connection, [`request`] for one
//! request. An instance keeps nothing on disk. What must last lives in the
//! platform's key-value service; what runs is read from the targets.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

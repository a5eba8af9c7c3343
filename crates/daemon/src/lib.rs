//! Daemon of an entry instance.
//!
//! Modules are divided by the lifetime of their state: [`process`] from start
//! to stop, [`version`] for one version of the configuration or one term of
//! ownership, [`connection`] for one connection, [`request`] for one request.
//! An instance stores nothing on disk. Durable state is kept in the platform's
//! key-value service; what runs is read from the targets.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

//! What lives as long as one connection.

mod fleet;
mod front;
mod link;
mod metrics;
mod peers;
mod runner;
mod watch;
mod worker;

pub use peers::Peers;

pub(crate) use fleet::keep_list;
pub(crate) use front::serve_callers;
pub(crate) use metrics::serve_metrics;
pub(crate) use peers::{keep_peers, serve_peers};
pub(crate) use runner::keep_runners;
pub(crate) use watch::{keep_watch, take_config};
pub(crate) use worker::hold_worker;

//! State that lives as long as one connection.

mod callers;
mod instances;
mod link;
mod metrics;
mod peers;
mod runner;
mod watch;
mod worker;

pub use peers::Peers;

pub(crate) use callers::serve_callers;
pub(crate) use instances::poll_instances;
pub(crate) use metrics::serve_metrics;
pub(crate) use peers::{maintain_links, serve_peers};
pub(crate) use runner::maintain_runners;
pub(crate) use watch::{apply_config, watch_shared_keys};
pub(crate) use worker::run_worker_session;

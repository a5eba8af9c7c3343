//! Guarantees of a cell when parts of it fail. Each test covers a fault that was
//! observed, or that the platform's operators describe.

mod common;
mod evacuation;
mod interference;
mod jobs;
mod leadership;
mod links;
mod recovery;
mod restarts;
mod slow_store;
mod speeds;
mod store;
mod targets;

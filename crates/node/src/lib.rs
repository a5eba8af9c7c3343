//! A node of a cell.
//!
//! Every node runs a `frontend`, which checks clients' keys, records accepted
//! jobs and reports job states. One node at a time holds the `leadership` and
//! runs the `placer`, which keeps the account of the targets and sends them
//! orders. The other nodes connect to the leader through a `link`.
//!
//! External services are reached through the traits in [`external`] and
//! [`platform::TransactionalStore`]; their implementations are passed to
//! [`Handle::start`].

mod configs;
mod context;
mod decode;
mod evacuations;
pub mod external;
mod follower;
mod frontend;
pub mod intake;
mod keys;
mod leadership;
mod link;
pub mod listen;
mod log;
mod metrics;
mod placer;
mod run;
pub mod settings;
mod states;
mod uplink;
mod watch;
mod writes;

pub use context::Context;
pub use frontend::{Admission, Frontend};
pub use run::{Error, Handle, load_settings};
pub use settings::Settings;

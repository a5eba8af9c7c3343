//! A node of a cell.
//!
//! Every node is a [`front`] for clients: it checks their keys, records the
//! jobs that it accepts and tells their states. One node at a time has the
//! [`lead`]; it is the [`placer`], which owns the account of the targets and
//! gives them their orders. The nodes have [`link`]s to the leader.
//!
//! What lies outside is met by the traits in [`edge`] and by
//! [`platform::Records`]; what implements them is given to [`run`].

mod configs;
mod context;
mod decode;
pub mod external;
mod follower;
mod frontend;
mod keys;
mod leadership;
mod link;
mod log;
mod metrics;
mod placer;
mod run;
pub mod settings;
mod states;
mod uplink;
mod writes;

pub use context::Context;
pub use frontend::{Admission, Frontend};
pub use run::{Error, Handle, load_settings};
pub use settings::Settings;

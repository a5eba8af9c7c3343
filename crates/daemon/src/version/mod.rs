//! State that lives for one version of the configuration or one term of
//! ownership.

mod config;
mod division;
mod ledger;
mod placer;
mod rendezvous;

pub use config::{Configs, Snapshot, Update};
pub use division::{Division, Divisions, propose};
pub use ledger::{Acquisition, Superseded, Writer, acquire};
pub use placer::{Command, Placers, StartResult};
pub use rendezvous::{select_owner, weight};

pub(crate) use config::CONFIG_KEY;
pub(crate) use division::{DIVISION_PREFIX, reconcile_divisions, update_division};
pub(crate) use placer::{WorkerCommand, reconcile_placers};

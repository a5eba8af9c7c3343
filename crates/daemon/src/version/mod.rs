//! What lives for one version of the configuration or one term of an
//! ownership.

mod config;
mod division;
mod ledger;
mod placer;
mod rendezvous;

pub use config::{Active, Configs, Update};
pub use division::{Division, Divisions, desire};
pub use ledger::{Lost, Sheet, Taken, take};
pub use placer::{Command, Placers, StartResult};
pub use rendezvous::{top, weight};

pub(crate) use config::CONFIG_KEY;
pub(crate) use division::{DIVISION_PREFIX, keep_divisions, learn as learn_division};
pub(crate) use placer::{ToWorker, keep_placers};

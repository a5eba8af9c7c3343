//! Teams, keys, shares and upper limits.
//!
//! A [`Config`] is one version of everything operators decide. A [`Change`]
//! makes the next version from it. A [`Keyring`] tells whose key came with a
//! request. [`Allowances`] divide each team's upper limit among the regions,
//! and [`Order`] decides which team is served next.

mod allowance;
mod change;
mod config;
mod keyring;
mod order;

pub use allowance::{Allowances, Demand, Grant};
pub use change::{Change, Granted};
pub use config::{Config, JobKind, Key, Team};
pub use keyring::{Digest, Digester, Keyring, Rights};
pub use order::Order;

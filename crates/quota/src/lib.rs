//! Teams, keys, shares and upper limits.
//!
//! A [`Config`] is one version of everything operators decide. A [`Change`]
//! makes the next version from it. A [`Keyring`] tells whose key came with a
//! request. [`Allowances`] divide each team's upper limit among the regions,
//! and [`Usage`] decides which team is served next.

mod allowance;
mod change;
mod config;
mod keyring;
mod usage;

pub use allowance::{Allowances, Demand, Grant};
pub use change::{Change, GrantedKey};
pub use config::{Config, JobKind, Key, Team};
pub use keyring::{Digest, Digester, Keyring, Principal};
pub use usage::Usage;

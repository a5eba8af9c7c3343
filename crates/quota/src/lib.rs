//! Teams, keys, shares and upper limits.
//!
//! A [`Config`] is one version of the operators' configuration, from which a
//! [`Change`] produces the next version. A [`Keyring`] maps the key of a request
//! to its [`Principal`]. [`Allowances`] divide each team's upper limit among the
//! regions, and [`Usage`] determines the order in which teams are served.

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

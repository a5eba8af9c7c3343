//! State that lives as long as the process.

mod check;
mod context;
mod log;
mod membership;
mod metrics;
mod run;
mod settings;
mod store;
mod tls;

pub use base::Level;
pub use check::SettingsError;
pub use context::{Context, Members, RunnerHandle};
pub use membership::Member;
pub use metrics::{CallLabels, Counters, Metrics, Outcome};
pub use run::run;
pub use settings::{DecisionMode, LogFormat, Settings, TlsMode};
pub use store::MeteredStore;
pub use tls::{Acceptor, Dialer, Io};

pub(crate) use membership::{MEMBER_PREFIX, maintain_membership};

//! What lives as long as the process.

mod check;
mod context;
mod log;
mod membership;
mod metrics;
mod observed;
mod run;
mod settings;
mod tls;

pub use base::Level;
pub use check::Fault;
pub use context::{Context, Members, RunnerHandle};
pub use membership::Member;
pub use metrics::{CallLabels, Counters, Metrics, Outcome};
pub use observed::Observed;
pub use run::run;
pub use settings::{Decisions, Form, Settings, TlsMode};
pub use tls::{Acceptor, Dialer, Io};

pub(crate) use membership::{MEMBER_PREFIX, keep_membership};

//! The command line for operators and submitters.
//!
//! Everything it does goes through the services of `control.proto` and
//! `jobs.proto`, or through a method of a schema. What it prints is a table for
//! people or, with `--json`, one JSON value for machines.

mod call;
mod compile;
mod connect;
mod control;
mod error;
mod jobs;
mod options;
mod show;

pub use compile::compile_schema;
pub use connect::{Access, authorized, connect};
pub use error::{Error, Result};
pub use options::{Command, Options, options};

/// Runs a command.
///
/// # Errors
/// Fails with what went wrong; [`Error::exit_code`] tells scripts.
pub async fn run(options: Options) -> Result<()> {
    let Options { access, json, command } = options;
    let show = show::Show::new(json);
    match command {
        Command::Key(key) => control::key(&access, &show, key).await,
        Command::Team(team) => control::team(&access, &show, team).await,
        Command::Policy { kind, placement } => {
            control::policy(&access, &show, &kind, &placement).await
        }
        Command::Schema(schema) => control::schema(&access, &show, schema).await,
        Command::Config => control::config(&access, &show).await,
        Command::Status => control::status(&access, &show).await,
        Command::Drain => control::drain(&access, &show).await,
        Command::Job(job) => jobs::run(&access, &show, job).await,
        Command::Call(call) => call::run(&access, &show, call).await,
        Command::Fault { at, fault, delay_ms } => {
            control::fault(&access, &show, at, fault, delay_ms).await
        }
        Command::Observe => control::observe(&access, &show).await,
    }
}

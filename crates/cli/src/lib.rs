//! Command line for operators and submitters.
//!
//! Commands call the services of `control.proto` and `jobs.proto`, or a method of
//! a schema. The hidden commands for tests call the service of the stand-ins.
//! Results are printed as text or tables or, with `--json`, as one JSON value.

mod call;
mod compile;
mod connect;
mod control;
mod error;
mod jobs;
mod options;
mod printer;

pub use compile::compile_schema;
pub use connect::{Access, authorized, connect};
pub use error::{Error, Result};
pub use options::{Command, Options, options};

/// Runs a command.
///
/// # Errors
/// Fails if the command does not succeed; [`Error::exit_code`] gives the exit code
/// of the process.
pub async fn run(options: Options) -> Result<()> {
    let Options { access, json, command } = options;
    let printer = printer::Printer::new(json);
    match command {
        Command::Key(key) => control::key(&access, &printer, key).await,
        Command::Team(team) => control::team(&access, &printer, team).await,
        Command::Policy { kind, placement } => {
            control::policy(&access, &printer, &kind, &placement).await
        }
        Command::Schema(schema) => control::schema(&access, &printer, schema).await,
        Command::Config => control::config(&access, &printer).await,
        Command::Status => control::status(&access, &printer).await,
        Command::Drain => control::drain(&access, &printer).await,
        Command::Job(job) => jobs::run(&access, &printer, job).await,
        Command::Call(call) => call::run(&access, &printer, call).await,
        Command::Fault { at, fault, delay_ms } => {
            control::fault(&access, &printer, at, fault, delay_ms).await
        }
        Command::Observe => control::observe(&access, &printer).await,
    }
}

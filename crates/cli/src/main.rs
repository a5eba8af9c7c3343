//! Program `skylarkspan`, the command line for operators and submitters.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match cli::run(cli::options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("skylarkspan: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

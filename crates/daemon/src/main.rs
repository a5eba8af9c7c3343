//! `skylarkspand`: daemon of an entry instance.

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use daemon::process::{self, Settings};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// The daemon of an entry instance of skylarkspan.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, in JSON with comments
    #[bpaf(argument("FILE"))]
    config: PathBuf,
    /// Check the settings and exit: 0 if they are right, 2 if not
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::read(&options.config) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match process::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("skylarkspand: {error}");
            ExitCode::FAILURE
        }
    }
}

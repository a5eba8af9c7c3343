//! Command line of the stand-ins for the platform and the targets.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use bpaf::Bpaf;
use standin::{Layout, World};

/// Stand-ins for the platform, workers and runners.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run the stand-ins until the process is ended
    #[bpaf(command)]
    Serve {
        /// Layout of the targets, in JSON with comments
        #[bpaf(argument("FILE"))]
        layout: PathBuf,
    },
    /// Write an authority and a certificate for instances
    #[bpaf(command)]
    Certificates {
        /// Folder to write to
        #[bpaf(argument("DIR"))]
        dir: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Serve { layout } => serve(&layout),
        Command::Certificates { dir } => {
            standin::write_certificates(&dir).map_err(|error| error.to_string())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(path: &Path) -> Result<(), String> {
    let layout = Layout::read(path)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        let world = World::start(layout).await.map_err(|error| error.to_string())?;
        println!("ready {}", world.platform_address());
        std::future::pending::<()>().await;
        Ok(())
    })
}

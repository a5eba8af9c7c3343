//! Generates the code of the `wire` crate from the `.proto` files.

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    match protogen::generate(&root, &root.join("crates/wire/src/gen")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

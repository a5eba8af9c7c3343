//! Code generation from the `.proto` files.
//!
//! `protox` compiles the schemas, so that no `protoc` is needed, and
//! `tonic-prost-build` generates messages, clients and servers. The generated
//! code is committed under `crates/wire/src/gen`, together with the encoded
//! descriptors.

use std::{
    io,
    path::{Path, PathBuf},
};

use prost::Message;
use snafu::{ResultExt, Snafu};

/// Name of the generated file with the encoded descriptors.
pub const DESCRIPTORS_FILE: &str = "skylarkspan.v1.bin";

/// Name of the generated file with the messages, clients and servers.
pub const CODE_FILE: &str = "skylarkspan.v1.rs";

const SCHEMA_NAMES: [&str; 7] = ["options", "kv", "fleet", "target", "jobs", "control", "standin"];

/// Errors of the code generation.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A schema does not compile.
    #[snafu(display("schema: {source}"))]
    Schema {
        /// Error of the compiler.
        #[snafu(source(from(protox::Error, Box::new)))]
        source: Box<protox::Error>,
    },
    /// A file could not be written.
    #[snafu(display("{}: {source}", path.display()))]
    Write {
        /// Path of the file, or of the output folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Generates the code and descriptors of the schemas in `root`/proto, as files
/// in the folder `out`.
///
/// # Errors
///
/// Fails if a schema does not compile or a file cannot be written.
pub fn generate(root: &Path, out: &Path) -> Result<(), Error> {
    let proto = root.join("proto");
    let files = SCHEMA_NAMES.map(|name| format!("skylarkspan/v1/{name}.proto"));
    let descriptors = protox::compile(files, [&proto]).context(SchemaSnafu)?;
    let path = out.join(DESCRIPTORS_FILE);
    std::fs::write(&path, descriptors.encode_to_vec()).context(WriteSnafu { path })?;
    tonic_prost_build::configure()
        .out_dir(out)
        .bytes(".")
        .compile_fds(descriptors)
        .context(WriteSnafu { path: out })
}

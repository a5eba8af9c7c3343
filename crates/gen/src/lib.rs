//! Code generation for the `.proto` files.
//!
//! The schemas are compiled by `protox`, so no `protoc` is needed, and turned
//! into messages, clients and servers by `tonic-prost-build`. The result is
//! committed under `crates/wire/src/gen`, next to the encoded descriptors.

use std::{
    io,
    path::{Path, PathBuf},
};

use prost::Message;
use snafu::{ResultExt, Snafu};

/// Name of the file with the encoded descriptors.
pub const DESCRIPTORS_FILE: &str = "skylarkspan.v1.bin";

/// Name of the file with the messages, clients and servers.
pub const CODE_FILE: &str = "skylarkspan.v1.rs";

const SCHEMA_NAMES: [&str; 7] = ["options", "kv", "fleet", "target", "jobs", "control", "standin"];

/// Reasons why code can't be generated.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A schema is wrong.
    #[snafu(display("schema: {source}"))]
    Schema {
        /// What the compiler says.
        #[snafu(source(from(protox::Error, Box::new)))]
        source: Box<protox::Error>,
    },
    /// A file can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
}

/// Writes the generated files of the schemas below `root` into `out`.
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

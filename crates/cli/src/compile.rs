//! Schema files.

use std::path::Path;

use protox::{
    Compiler,
    file::{ChainFileResolver, File, FileResolver, GoogleFileResolver, IncludeFileResolver},
};

use crate::error::{Error, Result};

/// Name under which schemas import the options of calls.
const OPTIONS_NAME: &str = "skylarkspan/v1/options.proto";

const OPTIONS: &str = include_str!("../../../proto/skylarkspan/v1/options.proto");

/// A resolver for the options of calls, which come with the command.
struct OptionsResolver;

impl FileResolver for OptionsResolver {
    fn open_file(&self, name: &str) -> Result<File, protox::Error> {
        if name == OPTIONS_NAME {
            File::from_source(name, OPTIONS)
        } else {
            Err(protox::Error::file_not_found(name))
        }
    }
}

/// Compiles a schema file; gets the encoded descriptor set with its imports,
/// which lie in the file's folder.
///
/// # Errors
/// Fails with what is wrong, by file and line.
pub fn compile_schema(path: &Path) -> Result<Vec<u8>> {
    let wrong = |error: protox::Error| Error::usage(format!("{error:?}"));
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = path
        .file_name()
        .and_then(|name| name.to_str())
        .ok_or_else(|| Error::usage(format!("{}: is no file", path.display())))?;
    let mut resolver = ChainFileResolver::new();
    resolver.add(IncludeFileResolver::new(folder.to_owned()));
    resolver.add(OptionsResolver);
    resolver.add(GoogleFileResolver::new());
    let mut compiler = Compiler::with_file_resolver(resolver);
    compiler.include_imports(true).open_file(name).map_err(wrong)?;
    // Unlike the plain descriptor set, this one keeps the values of options
    // that are extensions.
    Ok(compiler.encode_file_descriptor_set())
}

/// Compiles a schema file into a pool of descriptors.
///
/// # Errors
/// Fails with what is wrong, by file and line.
pub(crate) fn pool(path: &Path) -> Result<prost_reflect::DescriptorPool> {
    prost_reflect::DescriptorPool::decode(&compile_schema(path)?[..]).map_err(Error::usage)
}

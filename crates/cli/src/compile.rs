//! Compilation of schema files.

use std::path::Path;

use protox::{
    Compiler,
    file::{ChainFileResolver, File, FileResolver, GoogleFileResolver, IncludeFileResolver},
};

use crate::error::{Error, Result};

/// Path under which schemas import the method options of calls.
const OPTIONS_PATH: &str = "skylarkspan/v1/options.proto";

/// Source text of the method options, embedded so that no installed file is needed.
const OPTIONS_SOURCE: &str = include_str!("../../../proto/skylarkspan/v1/options.proto");

/// Resolver for the import of the embedded method options.
struct OptionsResolver;

impl FileResolver for OptionsResolver {
    fn open_file(&self, name: &str) -> Result<File, protox::Error> {
        if name == OPTIONS_PATH {
            File::from_source(name, OPTIONS_SOURCE)
        } else {
            Err(protox::Error::file_not_found(name))
        }
    }
}

/// Compiles a schema file and returns its encoded descriptor set, imports
/// included. Imports other than the method options and Google's well-known types
/// are looked up in the folder of the file.
///
/// # Errors
/// Fails if the file can't be read or is invalid; the error names file and line.
pub fn compile_schema(path: &Path) -> Result<Vec<u8>> {
    let usage_error = |error: protox::Error| Error::usage(format!("{error:?}"));
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = path
        .file_name()
        .and_then(|name| name.to_str())
        .ok_or_else(|| Error::usage(format!("{}: not a file name", path.display())))?;
    let mut resolver = ChainFileResolver::new();
    resolver.add(IncludeFileResolver::new(folder.to_owned()));
    resolver.add(OptionsResolver);
    resolver.add(GoogleFileResolver::new());
    let mut compiler = Compiler::with_file_resolver(resolver);
    compiler.include_imports(true).open_file(name).map_err(usage_error)?;
    // `Compiler::file_descriptor_set` would drop the values of extension options.
    Ok(compiler.encode_file_descriptor_set())
}

/// Compiles a schema file and returns its descriptors, imports included.
///
/// # Errors
/// Fails if the file can't be read or is invalid; the error names file and line.
pub(crate) fn descriptor_pool(path: &Path) -> Result<prost_reflect::DescriptorPool> {
    prost_reflect::DescriptorPool::decode(&compile_schema(path)?[..]).map_err(Error::usage)
}

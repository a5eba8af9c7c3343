//! The committed code is up to date with the schemas.

use std::path::Path;

use googletest::prelude::*;

#[gtest]
fn committed_code_matches_the_schemas() -> googletest::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let out = tempfile::tempdir()?;
    protogen::generate(&root, out.path())?;
    for file in [protogen::CODE_FILE, protogen::DESCRIPTORS_FILE] {
        let generated = std::fs::read(out.path().join(file))?;
        let committed = std::fs::read(root.join("crates/wire/src/gen").join(file))?;
        expect_true!(generated == committed, "{file} is stale: run `cargo run -p gen`");
    }
    Ok(())
}

#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network: the one library is
# among those that the project declares.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review

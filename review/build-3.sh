#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs no network after the build of the deploy file.
set -eu
cd "$(dirname "$0")/harness-3"
exec cargo build --release --locked --offline

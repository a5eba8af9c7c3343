#!/bin/sh
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, with 0 if
# it held, with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
cd ../.. || exit 2
export NODE="$PWD/target/release/skylarkspan-node" TROUBLE="${TROUBLE:-1}"
[ -x "$NODE" ] && [ -x target/review/release/harness ] || exit 2
exec target/review/release/harness pending "$here/record.txt"

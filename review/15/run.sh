#!/bin/sh
# Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no kill and no crash.
cd "$(dirname "$0")/../.." || exit 2
case=review/harness-3/target/release/case
[ -x "$case" ] && [ -x target/release/skylarkspan-node ] || exit 2
exec "$case" waiting review/15/record.txt

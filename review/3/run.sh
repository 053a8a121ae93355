#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/millpass-node target/review/harness; do
    test -x "$program" || { echo "$program is not built" >&2; exit 2; }
done
timeout --signal=KILL 118 target/review/harness unframed review/3
status=$?
test "$status" -le 2 || exit 2
exit "$status"

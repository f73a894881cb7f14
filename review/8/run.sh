#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/larchdale target/review-2/standin; do
    [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
exec target/review-2/standin effect-change "review/8"

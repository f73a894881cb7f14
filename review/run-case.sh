#!/bin/sh
# Plays one case: run-case.sh FOLDER CASE. Started by the run.sh of each case, with TROUBLE=0 for a run without the
# disruption. Status 0: the rule held, 1: it was broken, 2: the case could not run.
folder=$1
case=$2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
program=$(sed -n 's/^run *= *"\([^"]*\)".*/\1/p' deploy/balancer.toml)
if [ -z "$program" ] || [ ! -x review/bin/review-standin ]; then
    echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
exec review/bin/review-standin "$case" "$program" "$folder/record.txt"

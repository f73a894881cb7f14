#!/bin/sh
# Starts the toy depots and a doorman, asks it for a few things, and ends both by their ids.
set -eu
cd "$(dirname "$0")/.."
toy=target/debug/examples/toy_server

"$toy" &
depots=$!
PROXY_CONFIG=examples/config.json target/release/larchdale &
doorman=$!
trap 'kill "$depots" "$doorman" 2>/dev/null || true' EXIT

tries=0
until "$toy" ask; do
    tries=$((tries + 1))
    [ "$tries" -lt 50 ] || { echo "the doorman does not answer" >&2; exit 1; }
    sleep 0.1
done
kill -TERM "$doorman"
wait "$doorman"

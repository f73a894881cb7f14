#!/bin/sh
# Starts the toy endpoints and a proxy, asks it for a few things, and ends both by their ids.
set -eu
cd "$(dirname "$0")/.."
toy=target/debug/examples/toy_server

"$toy" &
endpoints=$!
trap 'kill "$endpoints" 2>/dev/null || true' EXIT
"$toy" await
PROXY_CONFIG=examples/config.json target/release/larchdale &
proxy=$!
trap 'kill "$endpoints" "$proxy" 2>/dev/null || true' EXIT
"$toy" await proxy
"$toy" ask
kill -TERM "$proxy"
wait "$proxy"

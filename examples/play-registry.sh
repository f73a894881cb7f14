#!/bin/sh
# A newcomer's minute: a registry, endpoints and a proxy on loopback; an edge cache is drained with the command line, and the
# work it gets stops. Ends all of them by their ids.
set -eu
cd "$(dirname "$0")/.."
toy=target/release/registry-example
larchdale=target/release/larchdale
export LARCHDALE_PRODUCT=examples/registry.star

"$toy" serve &
servers=$!
trap 'kill "$servers" 2>/dev/null || true' EXIT
"$toy" await 127.0.0.1:9471
PROXY_CONFIG=examples/config.json LARCHDALE_LOG=warning "$larchdale" 2>/dev/null &
proxy=$!
trap 'kill "$servers" "$proxy" 2>/dev/null || true' EXIT
"$toy" await 127.0.0.1:9090
echo "--- what the registry lists"
"$larchdale" registry ls
echo "--- two seconds of requests: each box gets its part"
"$toy" ask
echo "--- box-1 is drained"
"$larchdale" registry drain box-1
echo "--- two seconds of requests: box-1 gets nothing new"
"$toy" ask
echo "--- box-1 is ready again, box-2 is removed"
"$larchdale" registry ready box-1
"$larchdale" registry remove box-2
"$toy" ask
kill -TERM "$proxy"
wait "$proxy"

#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library alone: no package and no network is needed.
set -e
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/review-standin standin/main.rs

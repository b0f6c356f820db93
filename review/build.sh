#!/usr/bin/env bash
# Builds the program under test and the drivers of the cases (review/standins). Needs no network
# once the project's dependencies are fetched: the drivers use crates of the project's lock file
# alone, of which they take a copy.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p brasspond
cp Cargo.lock review/standins/Cargo.lock
CARGO_TARGET_DIR="$PWD/target" cargo build --release --offline \
  --manifest-path review/standins/Cargo.toml

#!/bin/sh
# Builds the driver of the second review. Needs the Rust compiler alone: the driver uses nothing
# but the standard library, so no package and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/drivers-2/main.rs

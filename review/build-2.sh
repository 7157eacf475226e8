#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10. No dependency but the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs

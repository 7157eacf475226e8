#!/bin/bash
# Builds the stand-ins and cases of the review; needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/rig review/rig/main.rs

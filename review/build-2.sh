#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --locked --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2

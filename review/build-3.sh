#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3

#!/bin/bash
# Builds the stand-ins of the cases. They need the standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review

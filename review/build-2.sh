#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They have no dependencies.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2

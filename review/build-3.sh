#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the scripts in review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/drill-3/Cargo.toml --target-dir target/review-3

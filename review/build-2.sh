#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. The project's own programs are built by the command in
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/kit-2/Cargo.toml --target-dir target/review-2

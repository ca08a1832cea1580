#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
exec cargo build --release --offline --locked \
    --manifest-path "$root/review/kit/Cargo.toml" --target-dir "$root/target/review"

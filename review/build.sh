#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml

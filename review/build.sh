#!/bin/bash
# Builds the stand-ins of the cases. They need nothing but the toolchain.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --offline --manifest-path standin/Cargo.toml --target-dir ../target/review

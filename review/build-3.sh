#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, without a network.
set -e
cd "$(dirname "$0")/standin-3"
cargo build --release --locked --offline

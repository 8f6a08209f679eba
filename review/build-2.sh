#!/bin/sh
# Builds the stand-ins of the second review, which need nothing but the standard library.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --offline

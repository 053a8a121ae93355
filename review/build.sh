#!/bin/sh
# Builds what the scripts of the cases start besides the build of the deploy file: one program, which
# plays the platform, the operator, the servers and the clients. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs

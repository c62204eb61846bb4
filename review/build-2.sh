#!/bin/bash
# Builds the driver of the scripts in review/6 and later, which holds all their stand-ins: the
# platform's store, servers and clients. It needs the toolchain of the project and no dependency.
# The project's own program comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/mesh2 review/mesh2.rs

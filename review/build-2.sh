#!/bin/sh
# Builds the stand-ins and drivers that the cases 6 to 10 start. Runs after the build of the deploy file, without a
# network: the packages are those of the project.
set -e
cd "$(dirname "$0")/stand-ins-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline

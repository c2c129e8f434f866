#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. They need no module but the standard library.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOFLAGS='-mod=mod -buildvcs=false' go build -o ../../target/review-standin-2 .

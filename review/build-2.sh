#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. It needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/review-standin-2 .

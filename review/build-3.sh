#!/bin/sh
# Builds the stand-in of the scripts of the third review, from the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/ ./review/standin-3

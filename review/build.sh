#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need no module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS='-mod=mod -buildvcs=false' go build -o ../bin/standin .

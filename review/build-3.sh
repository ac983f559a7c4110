#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/13 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin3 .

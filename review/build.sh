#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/rig .

#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They use the standard library only.
set -e
cd "$(dirname "$0")/standin2"
CGO_ENABLED=0 GOWORK=off GOFLAGS=-buildvcs=false go build -o ../target/rig2 .

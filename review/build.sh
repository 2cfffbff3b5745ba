#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, from the standard library only.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .

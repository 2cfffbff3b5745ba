#!/usr/bin/env bash
# build-3.sh builds the stand-ins of the third review into target/. Run it after the build of the
# deploy file. It needs no network: the stand-ins use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -C review/standin-3 -o ../../target/standin-3 .

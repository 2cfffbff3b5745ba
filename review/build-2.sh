#!/usr/bin/env bash
# Builds the stand-in of cases 6 to 10. The nodes are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -o ../../target/standin-2 .

#!/usr/bin/env bash
# down.sh stops all processes that up.sh started.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
down

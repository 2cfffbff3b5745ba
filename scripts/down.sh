#!/usr/bin/env bash
# down.sh ends all that up.sh started.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
down

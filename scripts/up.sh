#!/usr/bin/env bash
# up.sh starts the small deployment, leaves it running, and prints the addresses of
# its nodes and its API keys.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
up >/dev/null
for n in 1 2 3; do echo "callers http://127.0.0.1:808$n/v1"; done
for key in example-minas-reports example-minas-assays example-cerro-reports example-cerro-assays; do echo "key $key"; done

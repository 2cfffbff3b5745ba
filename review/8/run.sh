#!/usr/bin/env bash
# Plays review/standin-2/quiet.go: the head of a group is silent for a second under its streams.
# It exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. TROUBLE=0 plays it
# without the disruption.
cd "$(dirname "$0")/../.." && [ -x target/eelgrassd ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 quiet review/8/record.txt

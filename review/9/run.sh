#!/usr/bin/env bash
# Plays review/standin-2/revived.go: a process starts after the store came back from a copy.
# It exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. TROUBLE=0 plays it
# without the disruption.
cd "$(dirname "$0")/../.." && [ -x target/eelgrassd ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 revived review/9/record.txt

#!/usr/bin/env bash
# test.sh PACKAGES... runs the tests of packages, and those of internal/misuse alone after the
# others: they measure the memory of processes. The tests listed in KNOWN-RED.txt run
# separately before; their results are printed but do not count.
set -eu
cd "$(dirname "$0")/.."
alone=/internal/misuse$
listed=$(go list "$@")
together=$(grep -v "$alone" <<<"$listed" || true)
alone=$(grep "$alone" <<<"$listed" || true)
# A test or, as NAME/CASE, one of its cases.
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sed 's|/|$/^|g; s|^|^|; s|$|$|' | paste -sd '|' -)

# run OPTIONS... runs the tests, first those of most packages, then the others.
run() {
	local failed=0
	[ -z "$together" ] || go test -count=1 "$@" $together || failed=1
	[ -z "$alone" ] || go test -count=1 -timeout 30m "$@" $alone || failed=1
	return $failed
}

if [ -z "$known" ]; then
	run
	exit
fi
echo "known failures, not counted:"
cat KNOWN-RED.txt
run -run "$known" 2>&1 | grep -v 'no test' || true
echo "end of known failures"
run -skip "$known"

#!/usr/bin/env bash
# mutants.sh [NAME] is a mutation test. It removes one condition at a time from a
# scratch copy of the repository and runs the tests that should detect it. It
# prints the conditions whose removal no test detected, and fails if there are any.
# scripts/mutants.txt lists them: name @ file @ Perl substitution @ packages of tests.
# A failure of a test listed in KNOWN-RED.txt does not count as a detection.
set -u
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | grep -zv '^journal/' | xargs -0 cp --parents -t "$copy"
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
only=${1:-}
total=0
survived=0
while IFS= read -r line; do
	case "$line" in '' | '#'*) continue ;; esac
	name=${line%% @ *}
	rest=${line#* @ }
	file=${rest%% @ *}
	rest=${rest#* @ }
	change=${rest%% @ *}
	packages=${rest#* @ }
	[ -z "$only" ] || [ "$only" = "$name" ] || continue
	total=$((total + 1))
	cp "$file" "$copy/$file"
	(cd "$copy" && perl -0pi -e "$change" "$file")
	if cmp -s "$file" "$copy/$file"; then
		echo "does not apply: $name"
		survived=$((survived + 1))
		continue
	fi
	# A mutant that does not build says nothing about the tests.
	if ! (cd "$copy" && go vet $packages >test.out 2>&1); then
		echo "does not build: $name"
		survived=$((survived + 1))
	elif (cd "$copy" && timeout 330 go test -timeout 300s -count=1 ${known:+-skip "^($known)\$"} $packages >test.out 2>&1); then
		echo "survived: $name"
		survived=$((survived + 1))
	else
		echo "detected: $name ($(grep -oE -- '--- FAIL: Test\w+' "$copy/test.out" | head -n 2 | cut -c11- | paste -sd ' ' - | grep . || echo 'timeout or panic'))"
	fi
	cp "$file" "$copy/$file"
done <scripts/mutants.txt
echo "$total conditions removed, $survived not detected"
[ "$survived" = 0 ]

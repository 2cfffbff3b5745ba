#!/usr/bin/env bash
# slopes.sh measures the CPU time and memory of a node at several request rates, on
# the small deployment with 2000 slots per group.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'down 2>/dev/null' EXIT
up >/dev/null
sed -e 's/"slots":16/"slots":2000/; s/"limit":[0-9]*/"limit":9000/' "$run_dir/deployment.json" >"$run_dir/wide.json"
bin/eelgrass apply "$run_dir/wide.json" --base 1 --store $store >/dev/null
sleep 12
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$run_dir/n1.pid")/stat"; }
resident() { awk '/VmRSS/ {printf "%.1f", $2/1024}' "/proc/$(cat "$run_dir/n1.pid")/status"; }
before=$(ticks)
sleep 10
echo "idle: $(($(ticks) - before)) ms of CPU time per second, $(resident) MB resident"
for rate in ${RATES:-15 30 60}; do
	before=$(ticks)
	bin/bench load --rate $rate --span 10s --tokens 200 >"$run_dir/load.txt" &
	pid=$!
	sleep 8
	mid=$(resident)
	wait $pid
	echo "rate $rate/s over 3 nodes, 200 tokens: $(($(ticks) - before)) x 10 ms of CPU time in all, $mid MB resident at 8 s"
	head -n 2 "$run_dir/load.txt"
done

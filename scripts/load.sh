#!/usr/bin/env bash
# load.sh measures the small deployment under load: latencies, resident memory of
# the nodes, the time from a request's body to its dispatch, and the calls of the
# key-value service.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'down 2>/dev/null' EXIT
up >/dev/null
echo "3 nodes, 30 requests/s in all:"
bin/bench load --rate 30 --span 10s
for n in 1 2 3; do
	pid=$(cat "$run_dir/n$n.pid")
	awk -v n="$n" '/VmRSS/ {printf "node %d resident %.1f MB\n", n, $2/1024}' "/proc/$pid/status"
done
echo "time from the end of a request's body to its dispatch, without queueing, by workspace and priority:"
curl -s http://127.0.0.1:8281/metrics | grep eelgrass_hop_seconds
echo "calls to the key-value service since the start:"
curl -s "http://$lists/calls"

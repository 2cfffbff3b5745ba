# Functions shared by the other scripts. The files of the deployment are in .run.
run_dir=.run
store=127.0.0.1:9000
lists=127.0.0.1:9001

# start NAME COMMAND... runs a command in the background and writes its process ID
# to a file.
start() {
	local name=$1
	shift
	"$@" >>"$run_dir/$name.log" 2>&1 &
	echo "$!" >"$run_dir/$name.pid"
}

# stop NAME [SIGNAL] sends a signal, TERM by default, to a command run by start.
stop() {
	local file="$run_dir/$1.pid"
	[ -f "$file" ] || return 0
	kill "-${2:-TERM}" "$(cat "$file")" 2>/dev/null || true
}

# await_exit NAME waits up to 20 s until a command has exited.
await_exit() {
	local pid
	pid=$(cat "$run_dir/$1.pid")
	for _ in $(seq 200); do
		kill -0 "$pid" 2>/dev/null || return 0
		sleep 0.1
	done
	return 1
}

# start_backend N starts the N-th backend server, behind a relay whose link can be
# cut if $relayed contains N.
relayed=""
start_backend() {
	local n=$1 fencing=true port=$((9100 + $1))
	[ "$n" -gt 6 ] && fencing=false
	case " $relayed " in
	*" $n "*)
		port=$((9300 + n))
		start "relay-$n" bin/relay -listen "127.0.0.1:$((9100 + n))" -target "127.0.0.1:$port" -control "127.0.0.1:$((9400 + n))"
		;;
	esac
	start "$(printf 'vm-%02d' "$n")" bin/backend -vm "$(printf 'vm-%02d' "$n")" -address "127.0.0.1:$port" \
		-fencing=$fencing -weights $lists
}

write_settings() {
	local n=$1 zone=$2
	cat >"$run_dir/n$n.json" <<EOF
{
  // Node $n of the demonstration.
  "name": "n$n",
  "zone": "$zone",
  "callers": "127.0.0.1:$((8080 + n))",
  "peers": "127.0.0.1:$((8180 + n))",
  "admin": "127.0.0.1:$((8280 + n))",
  "store": "$store",
  "vms": "$lists",
  "lag": "1s",
}
EOF
}

start_node() { start "n$1" bin/eelgrassd --settings "$run_dir/n$1.json"; }

serving_groups() {
	bin/eelgrass status --node 127.0.0.1:828"$1" -o json 2>/dev/null | grep -c '"serving": true'
}

# wait_serving NODE COUNT waits up to 30 s until a node sees COUNT serving groups.
wait_serving() {
	for _ in $(seq 300); do
		[ "$(serving_groups "$1")" = "$2" ] && return 0
		sleep 0.1
	done
	return 1
}

# up starts the deployment, applies the demo configuration and waits until each
# node sees 2 serving groups.
up() {
	rm -rf "$run_dir"
	mkdir -p "$run_dir"
	start platform bin/platform -store $store -lists $lists
	local n
	for n in $(seq 12); do start_backend "$n"; done
	start records bin/backend -kind service -address 127.0.0.1:9201
	write_settings 1 a
	write_settings 2 b
	write_settings 3 a
	for n in 1 2 3; do start_node "$n"; done
	bin/ferrando -demo >"$run_dir/deployment.json"
	for _ in $(seq 50); do
		bin/eelgrass apply "$run_dir/deployment.json" --base 0 --operator demo --store $store >"$run_dir/apply.log" 2>&1 && break
		sleep 0.1
	done
	cat "$run_dir/apply.log"
	for n in 1 2 3; do wait_serving "$n" 2 || return 1; done
}

# down kills all commands run by start and deletes the deployment's files.
down() {
	local file
	for file in "$run_dir"/*.pid; do
		[ -f "$file" ] || continue
		kill -KILL "$(cat "$file")" 2>/dev/null || true
	done
	rm -rf "$run_dir"
}

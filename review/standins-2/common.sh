# Sourced by the scripts of the cases: starts processes on loopback, and ends by
# its id each one that is left at the end.
cd "$(dirname "$0")/../.."
case_folder=review/$(basename "$(dirname "$0")")
tools=target/review-2
daemon=target/bin/siskinlinkd
trouble=${TROUBLE:-1}
record=$PWD/$case_folder/record.txt
work=$(mktemp -d -t review.XXXXXX)
pids=()
: >"$record"

finish() {
	local pid

	trap - EXIT
	for pid in "${pids[@]}" ${node_pids[@]+"${node_pids[@]}"}; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap finish EXIT

note() {
	echo "$(date +%s%3N) $*" >>"$record"
}

# The case could not run.
cannot() {
	note "can't run: $*"
	echo "can't run: $*" >&2
	exit 2
}

for program in "$daemon" target/bin/fake_store "$tools/engine"; do
	[ -x "$program" ] || cannot "$program is not built"
done

# Sets port to a port of 127.0.0.1 that is free at present, below those that
# the system gives to clients.
used_ports=" "
next_port() {
	while true; do
		port=$((20000 + RANDOM % 12000))
		case $used_ports in *" $port "*) continue ;; esac
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
		used_ports+="$port "
		return
	done
}

put() { # KEY VALUE
	"$tools/put" "$store" "$1" "$2" || cannot "the store refuses $1"
}

remove() { # KEY
	"$tools/put" "$store" "$1" || cannot "the store keeps $1"
}

entry() { # ID SERVICE PORT SLOTS
	put "servers/$1" "{\"service\":\"$2\",\"address\":\"127.0.0.1:$3\",\"zone\":\"casa-ain\",\"version\":\"v1\",\"slots\":$4,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":1780000000000}"
}

# The desired state of a small deployment, with the figures of its sheet.
config() { # VERSION
	put op/config '{"version":'"$1"',"routes":[
{"name":"donor-narrative","host":"h.example","path_prefix":"/d/","kind":"streaming","timeout_ms":39000,"slo_ms":1800,"priority":0,"service":"redacteur","max_attempts":1,"gap_target_ms":180},
{"name":"ledger-export","host":"h.example","path_prefix":"/e/","kind":"unsafe","timeout_ms":1200,"slo_ms":150,"priority":2,"service":"guichet","max_attempts":1},
{"name":"filing-status","host":"h.example","path_prefix":"/s/","kind":"safe","timeout_ms":1200,"slo_ms":150,"priority":2,"service":"guichet","max_attempts":2}],
"services":[{"name":"redacteur","engine":{"slots":24,"kv_cache_tokens":34292,"stride":4,"migrations":true,"backups":true,"handle_ttl_s":5}},{"name":"guichet"}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000},
"tenants":[{"name":"atlas","keys":["k1"]},{"name":"boreal","keys":["k2"]}]}'
}

start_store() {
	next_port
	store=127.0.0.1:$port
	target/bin/fake_store --address "$store" >"$work/store.log" 2>&1 &
	pids+=($!)
	for _ in $(seq 100); do
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && return
		sleep 0.05
	done
	cannot "the store doesn't start"
}

# Starts engines in one process: MODE EVENTS GAP_MS ID:PORT...
start_engines() {
	local out=$work/engines.$RANDOM

	"$tools/engine" "$record" "$@" >"$out" 2>&1 &
	engine_pid=$!
	pids+=("$engine_pid")
	for _ in $(seq 100); do
		grep -q ready "$out" && return
		sleep 0.05
	done
	cannot "the engines don't start"
}

# Gives each node its ports, and writes their settings as the template of the
# deploy file does.
node_pids=()
fronts=()
readies=()
controls=()
write_nodes() { # COUNT
	local i https=() directories=()

	for i in $(seq 0 $(($1 - 1))); do
		next_port && fronts[i]=127.0.0.1:$port
		next_port && readies[i]=127.0.0.1:$port
		next_port && controls[i]=127.0.0.1:$port
		next_port && https[i]=127.0.0.1:$port
		next_port && directories[i]=127.0.0.1:$port
	done
	for i in $(seq 0 $(($1 - 1))); do
		cat >"$work/node$i.toml" <<-TOML
			[node]
			name = "front-casa-ain-$i"
			region = "casa"
			failure_domain = "casa-ain"
			domain_regions = ["casa-ain=casa"]
			http_address = "${https[i]}"
			peer_address = "${controls[i]}"
			seeds = ["${controls[0]}", "${controls[$(($1 > 1 ? 1 : 0))]}"]
			[gateway]
			address = "${fronts[i]}"
			ready_address = "${readies[i]}"
			directory_address = "${directories[i]}"
			store_address = "${store_for_nodes:-$store}"
			drain_s = 8
			retry_ratio = 0.2
			retry_extra = 54
			retry_window_s = 10
			max_answer_bytes = 16777216
			[limits]
			max_open_files = 4100
			[log]
			level = "info"
		TOML
	done
}

start_node() { # NODE
	"$daemon" --config "$work/node$1.toml" >>"$work/node$1.log" 2>&1 &
	node_pids[$1]=$!
}

is_ready() { # NODE
	local line

	exec 3<>"/dev/tcp/127.0.0.1/${readies[$1]#*:}" || return 1
	printf 'GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
	read -r -t 1 line <&3 || line=
	exec 3>&-
	[[ $line == *" 200 "* ]]
} 2>/dev/null

await_nodes() {
	local i

	for i in "${!fronts[@]}"; do
		for _ in $(seq 100); do
			is_ready "$i" && continue 2
			sleep 0.1
		done
		cannot "node $i is not ready"
	done
}

# Sourced by the scripts of the cases: starts the platform's stand-ins and the
# nodes as processes on loopback, and ends them by their ids.
# The sourcing script sets `here`, its folder.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
standins=target/review
if [ ! -x target/bin/siskinlinkd ] || [ ! -x target/bin/fake_store ] ||
	[ ! -x $standins/engine ] || [ ! -x $standins/client ]; then
	echo "build the deploy file's programs and run review/build.sh first" >&2
	exit 2
fi
client=$standins/client
trouble=${TROUBLE:-1}
# The names of services are drawn anew each day.
model_service=${model_service:-redacteur}
plain_service=${plain_service:-guichet}
work=$(mktemp -d -t siskinlink-review.XXXXXX)
record=$here/record.txt
pids=()
nodes=() # pid of each node's process
# A loopback network of this run's own; the ports are the same on all machines.
network=127.$((RANDOM % 120 + 100)).$((RANDOM % 250 + 1))
: >"$record"

finish() {
	local status=$?

	trap - EXIT
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	[ -z "${KEEP_WORK:-}" ] && rm -rf "$work" || echo "kept $work" >&2
	exit "$status"
}
trap finish EXIT

say() {
	echo "$(date +%s%3N) script $*" >>"$record"
}

cannot_run() {
	say "cannot run: $*"
	echo "cannot run: $*" >&2
	exit 2
}

# start NAME PROGRAM ARGUMENTS...: starts it in the background; sets started.
start() {
	local name=$1

	shift
	"$@" >>"$work/$name.out" 2>>"$work/$name.err" &
	started=$!
	pids+=("$started")
}

# listening NAME: waits until the program tells its address; sets address.
listening() {
	for _ in $(seq 200); do
		address=$(awk '/^listening / { print $2; exit }' \
			"$work/$1.out" 2>/dev/null)
		[ -z "$address" ] || return 0
		sleep 0.05
	done
	cannot_run "$1 does not start"
}

start_store() {
	start store target/bin/fake_store --address "$network.250:0"
	listening store
	store=$address
}

# put KEY FILE: what the operator, an engine or another writer writes.
put() {
	$client put "$store" "$1" "$2" || cannot_run "the store does not take $1"
}

# start_engine N SERVICE SLOTS OPTIONS...: starts it and writes its entry.
start_engine() {
	local n=$1 service=$2 slots=$3

	shift 3
	start "engine$n" $standins/engine --ip "$network.$((100 + n))" \
		--id "i-$n" --journal "$work/engine$n.journal" "$@"
	listening "engine$n"
	cat >"$work/entry" <<-JSON
		{"service":"$service","address":"$address","zone":"casa-ain",
		"version":"v1","slots":$slots,"state":"ready",
		"warmup_left_ms":0,"stage":"both","models":[],"sequence":1,
		"born":1780000000000}
	JSON
	cp "$work/entry" "$work/entry$n"
	put "servers/i-$n" "$work/entry"
}

# The desired state: the routes, limits and times of the sheet of agrc-siskin.
write_document() {
	sed "s/redacteur/$model_service/; s/guichet/$plain_service/" \
		>"$work/document" <<-'JSON'
		{"version":7,"routes":[
		{"name":"narrative","host":"h.example","path_prefix":"/nar/",
		"kind":"streaming","timeout_ms":39000,"slo_ms":1800,
		"priority":0,"service":"redacteur","max_attempts":1,
		"public":false,"sticky":true,"resumable":false,
		"gap_target_ms":180},
		{"name":"check","host":"h.example","path_prefix":"/chk/",
		"kind":"streaming","timeout_ms":6000,"slo_ms":1500,
		"priority":1,"service":"redacteur","max_attempts":1,
		"public":false,"sticky":true,"resumable":false,
		"gap_target_ms":180},
		{"name":"export","host":"h.example","path_prefix":"/exp/",
		"kind":"unsafe","timeout_ms":2500,"slo_ms":150,"priority":2,
		"service":"guichet","max_attempts":1,"public":false},
		{"name":"status","host":"h.example","path_prefix":"/sta/",
		"kind":"safe","timeout_ms":2500,"slo_ms":150,"priority":2,
		"service":"guichet","max_attempts":2,"public":false}],
		"services":[{"name":"redacteur","health_path":"/health",
		"max_conns":272,"protocol":"h1","tls":false,
		"engine":{"slots":24,"kv_cache_tokens":34292,
		"kv_token_bytes":163840,"link_mbps":24000.0,
		"migrations":true,"backups":true,"stride":4,"most":12,
		"pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,
		"models":[{"name":"m"}]}},
		{"name":"guichet","health_path":"/health","max_conns":100,
		"protocol":"h1","tls":false}],
		"limits":{"header_bytes":16384,"max_body_bytes":4194304,
		"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"atlas","keys":["key-of-atlas"],
		"priority":1}]}
	JSON
	put op/config "$work/document"
}

# write_settings N NODES: as deploy/siskinlinkd.toml.in renders them.
write_settings() {
	local n=$1 seeds=

	for ((i = 1; i <= $2 && i <= 3; i++)); do
		seeds+="\"$network.$i:$control_port\","
	done
	cat >"$work/node$n.toml" <<-TOML
		[node]
		name = "front-casa-ain-$n"
		region = "casa"
		failure_domain = "casa-ain"
		domain_regions = ["casa-ain=casa"]
		http_address = "$network.$n:$metrics_port"
		peer_address = "$network.$n:$control_port"
		seeds = [${seeds%,}]
		[gateway]
		address = "$network.$n:$front_port"
		ready_address = "$network.$n:$ready_port"
		directory_address = "$network.$n:$directory_port"
		store_address = "$store"
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
}

choose_ports() {
	front_port=$($client port "$network.1")
	ready_port=$($client port "$network.1")
	directory_port=$($client port "$network.1")
	control_port=$($client port "$network.1")
	metrics_port=$($client port "$network.1")
}

# start_node N: starts its process with the command of the deploy file.
start_node() {
	start "node$1" target/bin/siskinlinkd --config "$work/node$1.toml"
	nodes[$1]=$started
}

is_ready() {
	$client ready "$network.$1:$ready_port" 2>/dev/null
}

# start_nodes COUNT: starts them and waits until all are ready.
start_nodes() {
	choose_ports
	for ((k = 1; k <= $1; k++)); do
		write_settings "$k" "$1"
		start_node "$k"
	done
	for ((k = 1; k <= $1; k++)); do
		for _ in $(seq 200); do
			! is_ready "$k" || continue 2
			sleep 0.05
		done
		cannot_run "node $k does not become ready"
	done
}

front() {
	echo "$network.$1:$front_port"
}

# send NODE ID PATH OPTIONS...: a consumer's request, in the background.
senders=()
send() {
	local node=$1 id=$2 path=$3

	shift 3
	$client send "$(front "$node")" "$id" "$path" "$@" \
		>>"$work/clients" 2>>"$work/clients.err" &
	senders+=($!)
	pids+=($!)
}

now_ms() {
	date +%s%3N
}

# sleep_until MS: of the real clock.
sleep_until() {
	local left=$(($1 - $(now_ms)))

	[ $left -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

wait_for_senders() {
	for pid in "${senders[@]}"; do
		wait "$pid" || true
	done
}

# Adds all that consumers and engines saw to the record, by time.
write_record() {
	cat "$work"/engine*.journal "$work/clients" >>"$record" 2>/dev/null || true
	sort -n -k1,1 -s "$record" >"$work/sorted"
	cp "$work/sorted" "$record"
}

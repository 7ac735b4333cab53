#!/usr/bin/env bash
# overhead.sh BIN: measures in one run the overhead of a node, with fakes over
# loopback: start-up time, resident memory when idle and per open stream, added
# delay per token, processor time per token.
set -euo pipefail

bin=$1
source "$(dirname "$0")/../tests/processes.sh"

starts=${STARTS:-20}
streams=${STREAMS:-400}

# start_us PROGRAM ARGUMENTS...: median time until it prints "listening".
start_us() {
	local begun

	for _ in $(seq "$starts"); do
		begun=${EPOCHREALTIME/./}
		coproc child { exec "$@" 2>/dev/null; }
		read -r _ <&"${child[0]}"
		echo $((${EPOCHREALTIME/./} - begun))
		kill -KILL "$child_PID"
		wait "$child_PID" 2>/dev/null || true
	done | sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}

resident_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' \
		"/proc/$1/stat"
}

# value FILE NAME: prints a value from the output of stream_bench.
value() {
	tr ' ' '\n' <"$1" | awk -F= -v name="$2" '$1 == name { print $2 }'
}

ratio() {
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", b ? a / b : 0 }'
}

endpoints() {
	for address in "$@"; do
		cat <<-TOML
			[[services.endpoints]]
			address = "$address"
			failure_domain = "bench-a"
			region = "bench"
			capacity_tokens = 1000000
		TOML
	done
}

start kv "$bin/fake_kv" --address 127.0.0.1:0
kv=$address
for i in $(seq 9); do
	start "engine$i" "$bin/fake_engine" --address 127.0.0.1:0 \
		--capacity-tokens 1000000
	engines+=("$address")
done
node=127.0.0.1:$(free_port)
cat >"$work/node.toml" <<-TOML
	[node]
	name = "bench"
	region = "bench"
	failure_domain = "bench-a"
	http_address = "$node"
	peer_address = "127.0.0.1:$(free_port)"
	[keys]
	event_key = "bench-event-key-00001"
	operator_key = "$operator_key"
	[platform]
	kv_address = "$kv"
	[times]
	answer_keep_s = 1
TOML

node_start_us=$(start_us "$bin/siskinlinkd" --config "$work/node.toml")
fake_start_us=$(start_us "$bin/fake_kv" --address 127.0.0.1:0)

start node "$bin/siskinlinkd" --config "$work/node.toml"
node_pid=$started
{
	cat <<-TOML
		[[organisations]]
		name = "bench"
		key = "$organisation_key"
		priority = 5
		[[services]]
		name = "report-writer"
		kind = "generation"
	TOML
	endpoints "${engines[@]:1}"
	cat <<-TOML
		[[services]]
		name = "one-engine"
		kind = "generation"
	TOML
	endpoints "${engines[0]}"
} >"$work/intent.toml"
export SISKINLINK_OPERATOR_KEY=$operator_key
ctl=("$bin/siskinlinkctl" --address "$node" --operator bench)
plan=$("${ctl[@]}" --json plan "$work/intent.toml" | jq -r .plan_id)
"${ctl[@]}" confirm "$plan" >/dev/null
sleep 2

bench=("$bin/stream_bench" --key "$organisation_key" --direct "${engines[0]}")
idle_kb=$(resident_kb "$node_pid")
"${bench[@]}" --model one-engine --via "${engines[0]}" --direct-streams 1 --via-streams 1 \
	--tokens 500 >"$work/noise.txt"
"${bench[@]}" --model one-engine --via "$node" --direct-streams 1 --via-streams 1 \
	--tokens 500 >"$work/pair.txt"
"${bench[@]}" --model one-engine --via "$node" --direct-streams 1 \
	--tokens 2 --rounds 100 >"$work/first-direct.txt"
"${bench[@]}" --model one-engine --via "$node" --via-streams 1 \
	--tokens 2 --rounds 100 >"$work/first-via.txt"
warm_kb=$(resident_kb "$node_pid")
cpu_before_ms=$(cpu_ms "$node_pid")
"${bench[@]}" --model report-writer --via "$node" \
	--via-streams "$streams" --tokens 300 \
	>"$work/many.txt" &
many=$!
sleep 2
open=$(curl -s -H "Authorization: Bearer $operator_key" \
	"http://$node/admin/v1/dump" | jq .calls.streaming)
many_kb=$(resident_kb "$node_pid")
wait "$many"
cpu_used_ms=$(awk -v a="$cpu_before_ms" -v b="$(cpu_ms "$node_pid")" \
	'BEGIN { print b - a }')
tokens=$((streams * 300))

figure() {
	printf '%-38s %12s %s\n' "$@"
}
figure "start-up of a node" "$node_start_us" "us, median of $starts"
figure "  to that of the bare fake" \
	"$(ratio "$node_start_us" "$fake_start_us")" "times"
figure "resident, idle node" "$((idle_kb * 1024))" "bytes"
figure "resident for each open stream" \
	"$(((many_kb - warm_kb) * 1024 / open))" "bytes, $open open"
# compare NAME DIRECT_FILE VIA_FILE TEXT
compare() {
	local direct via

	direct=$(value "$2" "direct_$1")
	via=$(value "$3" "via_$1")
	figure "$4" "$via / $direct" "us = $(ratio "$via" "$direct")"
}
compare first_p50_us "$work/first-direct.txt" "$work/first-via.txt" \
	"first token p50, node / direct"
compare gap_p50_us "$work/pair.txt" "$work/pair.txt" \
	"between tokens p50, node / direct"
compare gap_p99_us "$work/pair.txt" "$work/pair.txt" \
	"between tokens p99, node / direct"
for p in p50 p95 p99; do
	noise=$(value "$work/noise.txt" "added_${p}_us")
	added=$(value "$work/pair.txt" "added_${p}_us")
	figure "a token's delay, $p: node / none" "$added / $noise" "us"
done
figure "processor time for each token" \
	"$(ratio "$((${cpu_used_ms%.*} * 1000))" "$tokens")" \
	"us, $tokens tokens in $streams streams"

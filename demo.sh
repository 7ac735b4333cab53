#!/usr/bin/env bash
# The main job on fakes: three nodes in three failure domains, three engines,
# one plain service, the key-value service and the VM list, all on loopback.
set -euo pipefail

bin=$1
work=$(mktemp -d -t siskinlink-demo.XXXXXX)
pids=()
operator_key=demo-operator-key-0001
organisation_key=demo-organisation-key-0001

finish() {
	local status=$?

	trap - EXIT
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	[ "$status" -eq 0 ] || tail -n 20 "$work"/*.log >&2
	rm -rf "$work"
	exit "$status"
}
trap finish EXIT

say() {
	printf '\n== %s\n' "$*"
}

# start NAME PROGRAM ARGUMENTS...: starts it, waits for its address.
start() {
	local name=$1

	shift
	: >"$work/$name.out"
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	started=$!
	for _ in $(seq 100); do
		address=$(awk '/^listening / { print $2; exit }' \
			"$work/$name.out")
		[ -z "$address" ] || return 0
		kill -0 "$started" 2>/dev/null || break
		sleep 0.1
	done
	echo "$name did not start" >&2
	return 1
}

# A port nobody listens on now; the node that takes it says so if it is lost.
free_port() {
	local port

	for _ in $(seq 100); do
		port=$((20000 + RANDOM % 12000))
		if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
			echo "$port"
			return 0
		fi
	done
	return 1
}

say "platform and endpoints"
start kv "$bin/fake_kv" --address 127.0.0.1:0
kv=$address
start vms "$bin/fake_vm_list" --address 127.0.0.1:0
vms=$address
engines=()
for i in 1 2 3; do
	start "engine$i" "$bin/fake_engine" --address 127.0.0.1:0
	engines+=("$address")
done
start service "$bin/fake_service" --address 127.0.0.1:0
service=$address
echo "key-value service $kv, VM list $vms"
echo "engines ${engines[*]}, plain service $service"

say "three nodes"
peers=()
https=()
for i in 0 1 2; do
	peers+=("127.0.0.1:$(free_port)")
	https+=("127.0.0.1:$(free_port)")
done
domains=(a b c)
node_pids=()
for i in 0 1 2; do
	cat >"$work/n$i.toml" <<-TOML
		[node]
		name = "entry-$i"
		region = "casablanca"
		failure_domain = "casablanca-${domains[$i]}"
		http_address = "${https[$i]}"
		peer_address = "${peers[$i]}"
		seeds = ["${peers[0]}", "${peers[1]}", "${peers[2]}"]
		[keys]
		event_key = "demo-event-key-000001"
		operator_key = "$operator_key"
		[platform]
		kv_address = "$kv"
		vm_list_address = "$vms"
		[times]
		answer_keep_s = 2
	TOML
	"$bin/siskinlinkd" --config "$work/n$i.toml" --check-config
	start "n$i" "$bin/siskinlinkd" --config "$work/n$i.toml"
	node_pids+=("$started")
	echo "entry-$i at ${https[$i]}"
done

say "a configuration, planned and confirmed"
export SISKINLINK_OPERATOR_KEY=$operator_key
ctl=("$bin/siskinlinkctl" --address "${https[0]}" --operator demo)
{
	cat <<-TOML
		[[organisations]]
		name = "atlas"
		key = "$organisation_key"
		priority = 5

		[[services]]
		name = "report-writer"
		kind = "generation"
	TOML
	for i in 0 1 2; do
		cat <<-TOML
			[[services.endpoints]]
			address = "${engines[$i]}"
			failure_domain = "casablanca-${domains[$i]}"
			region = "casablanca"
			capacity_tokens = 60000
		TOML
	done
	cat <<-TOML
		[[services]]
		name = "portal"
		kind = "plain"
		[[services.endpoints]]
		address = "$service"
		failure_domain = "casablanca-a"
		region = "casablanca"
	TOML
} >"$work/intent.toml"
"${ctl[@]}" plan "$work/intent.toml" | tee "$work/plan.txt"
plan=$(awk '/^plan / { print $2 }' "$work/plan.txt")
"${ctl[@]}" confirm "$plan"

# in_force NODE: waits until the node has a configuration.
in_force() {
	for _ in $(seq 100); do
		revision=$(curl -s -H "Authorization: Bearer $operator_key" \
			"http://$1/admin/v1/dump" | jq .config_revision)
		[ "$revision" = 0 ] || return 0
		sleep 0.1
	done
	return 1
}
for address in "${https[@]}"; do
	in_force "$address"
	echo "revision $revision in force at $address"
done

say "which address to use"
nodes=$(curl -s -H "Authorization: Bearer $organisation_key" \
	"http://${https[1]}/v1/nodes")
echo "$nodes" | jq -c '.nodes[] | [.name, .address, .failure_domain]'
entry=$(echo "$nodes" | jq -r '.nodes[0].address')
prefix=$(echo "$nodes" | jq -r '.nodes[0].id_prefix')

say "a long completion, streamed by $entry"
curl -sN -H "Authorization: Bearer $organisation_key" \
	-H 'Content-Type: application/json' \
	-d '{"model":"report-writer","stream":true,"max_tokens":400,
	     "prompt":"Spending report of the spring grants [[tokens=300]]"}' \
	"http://$entry/v1/completions" >"$work/stream.txt"
head -n 6 "$work/stream.txt" | cut -c 1-110
echo "..."
tail -n 4 "$work/stream.txt" | cut -c 1-110
events=$(grep -c '^id: ' "$work/stream.txt")
echo "$events events with an id"
grep -q '^data: \[DONE\]' "$work/stream.txt"

say "a non-idempotent call, and the same id again"
for address in "$entry" "${https[2]}"; do
	curl -s -H "Authorization: Bearer $organisation_key" \
		-H "Idempotency-Key: ${prefix}order-17" \
		-H 'X-Non-Idempotent: true' -d '{"order":17}' \
		"http://$address/svc/portal/orders"
	echo
done
runs=$(curl -s "http://$service/fake/runs" | jq length)
echo "the service ran it $runs time(s)"
[ "$runs" = 1 ]

say "dumps"
for i in 0 1 2; do
	curl -s -H "Authorization: Bearer $operator_key" \
		"http://${https[$i]}/admin/v1/dump" |
		jq -c '[.name, .config_revision, (.members | length),
			.counters.calls, .counters.calls_whole,
			.counters.tokens]'
done

say "drain"
for pid in "${node_pids[@]}"; do
	kill -TERM "$pid"
done
for pid in "${node_pids[@]}"; do
	wait "$pid"
	echo "node $pid ended with status $?"
done

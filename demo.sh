#!/usr/bin/env bash
# Runs the main scenario on fakes: three nodes in three failure domains, three
# engines, one plain service, the key-value service and the VM list, all on
# loopback.
set -euo pipefail

bin=$1
# shellcheck source=tests/processes.sh
. "$(dirname "$0")/tests/processes.sh"

say() {
	printf '\n== %s\n' "$*"
}

say "platform and endpoints"
start_fakes
echo "key-value service $kv, VM list $vms"
echo "engines ${engines[*]}, plain service $service"

say "three nodes"
start_nodes
for i in 0 1 2; do
	echo "entry-$i at ${https[$i]}"
done

say "a configuration, planned and confirmed"
export SISKINLINK_OPERATOR_KEY=$operator_key
ctl=("$bin/siskinlinkctl" --address "${https[0]}" --operator demo)
write_intent >"$work/intent.toml"
"${ctl[@]}" plan "$work/intent.toml" | tee "$work/plan.txt"
plan=$(awk '/^plan / { print $2 }' "$work/plan.txt")
"${ctl[@]}" confirm "$plan"
for address in "${https[@]}"; do
	in_force "$address"
	echo "revision $revision in force at $address"
done

say "which address to use"
nodes=$(curl -s "http://${https[1]}/v1/nodes")
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

say "a non-idempotent call, and the same id again at another node"
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

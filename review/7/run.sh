#!/usr/bin/env bash
# One of three engines repeats itself in the head of each 50th of its answers. The
# machine that reads such a head stands still for seconds, and none of its
# consumers gets an answer. TROUBLE=0: no engine does.
set -eu
. "$(dirname "$0")/../standins-2/common.sh"

timeout_ms=1200 # of both routes

start_store
config 10
for i in 0 1 2; do
	next_port
	mode=plain
	[ "$i$trouble" != 01 ] || mode=repeat
	start_engines "$mode" 50 30 "i-$i:$port"
	entry "i-$i" guichet "$port" 6
done
write_nodes 2
start_node 0
start_node 1
await_nodes
note "the machines are ready"
sleep 4 # contact_ms, and more

# filing-status and ledger-export, as often as on the sheet.
"$tools/caller" "$record" status 25 11.9 GET /s/x "" "${fronts[@]}" &
one=$!
"$tools/caller" "$record" export 25 29.7 POST /e/x "" "${fronts[@]}" &
other=$!
pids+=("$one" "$other")
wait "$one" && wait "$other" || cannot "the consumers failed"

waited_longer() { # MS
	awk -v ms="$1" '$2 == "caller" && $4 == "waited" && $5 > ms' "$record" |
		wc -l
}
spoiled=$(grep -c "engine repeats" "$record") || true
whole=$(grep -c "gets: 200$" "$record") || true
unanswered=$(waited_longer "$timeout_ms")
late=$(waited_longer $((timeout_ms + 500)))
note "$spoiled heads; $whole answered whole; $unanswered without an answer at their timeout, $late half a second later"
echo "$spoiled heads; $whole answered whole; $unanswered without an answer at their timeout, $late half a second later"
[ "$whole" -gt 100 ] || cannot "hardly a request was served"
# CONFIG: more than half of those that are still unanswered.
[ "$late" -le $((unanswered / 2)) ] || exit 1

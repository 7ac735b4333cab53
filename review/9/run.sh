#!/usr/bin/env bash
# The store cuts the watches that wait, once, and a moment later an engine that
# never says that it drains takes its entry away. Requests reach it later than
# drain_ms after that, some as it ends. Three times. TROUBLE=0: no watch is cut.
set -eu
. "$(dirname "$0")/../standins-2/common.sh"

drain_ms=2000

start_store
next_port
store_for_nodes=127.0.0.1:$port
"$tools/store_link" "$port" "$store" "$record" &
link=$!
pids+=("$link")
config 10
engine_pids=()
add_engine() { # NUMBER
	next_port
	start_engines plain 0 30 "i-$1:$port"
	engine_pids[$1]=$engine_pid
	entry "i-$1" guichet "$port" 6
}
for i in 0 1 2; do
	add_engine "$i"
done
write_nodes 7
for i in 0 1 2 3 4 5 6; do
	start_node "$i"
done
await_nodes
note "seven machines are ready"
sleep 5 # contact_ms, and more

"$tools/caller" "$record" export 34 29.7 POST /e/x "" "${fronts[@]}" &
one=$!
"$tools/caller" "$record" status 34 11.9 GET /s/x "" "${fronts[@]}" &
other=$!
pids+=("$one" "$other")
late=0
for i in 0 1 2; do
	sleep 4
	add_engine $((i + 3)) # the new one starts first
	sleep 1
	if [ "$trouble" != 0 ]; then
		kill -USR1 "$link"
		sleep 0.1
	fi
	remove "servers/i-$i"
	removed[i]=$(date +%s%3N)
	note "the store has accepted that engine i-$i is gone"
	# It serves on for drain_ms, a little longer, and ends.
	sleep 2.4
	kill -KILL "${engine_pids[i]}"
	note "engine i-$i ends"
done
wait "$one" && wait "$other" || cannot "the consumers failed"

for i in 0 1 2; do
	count=$(awk -v after=$((removed[i] + drain_ms)) -v engine="i-$i" \
		'$2 == "engine" && $3 == engine && $4 == "runs" && $1 > after' \
		"$record" | wc -l)
	note "engine i-$i: $count requests later than $drain_ms ms after its entry"
	late=$((late + count))
done
lost=$(grep -cE "gets: (50|no)" "$record") || true
whole=$(grep -c "gets: 200$" "$record") || true
note "$late late requests; $whole answered whole, $lost lost"
echo "$late late requests; $whole answered whole, $lost lost"
[ "$whole" -gt 500 ] || cannot "hardly a request was served"
[ "$late" = 0 ] || exit 1

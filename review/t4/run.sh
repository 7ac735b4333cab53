#!/usr/bin/env bash
# Many users come at once, with documents as long as the desired state allows.
# The platform ends a process that needs more memory than its machine has. Does
# the node answer what it has read?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"

memory_mb=110      # of a machine of agrc-siskin
body_bytes=4194304 # max_body_bytes of the desired state
users=24
gap=0.05 # between users; without the burst, as long as a report takes
[ "$trouble" != 0 ] || gap=1.5

start_store
write_document
for i in 1 2 3; do
	start_engine $i $model_service 24 --gap-ms 15 --delay-ms 1500
	start_engine $((i + 3)) $plain_service 6 --plain --delay-ms 30
done
start_nodes 1
sleep 1

# What the platform does: only the memory that is the process's own is counted.
watch_memory() {
	local most=0 kb

	while kb=$($client anon "${nodes[1]}") && [ -n "$kb" ]; do
		[ "$kb" -le "$most" ] || most=$kb
		echo "$most" >>"$work/most"
		if [ "$kb" -gt $((memory_mb * 1024)) ]; then
			say "node 1 has $kb kB of its own: it is killed"
			kill -KILL "${nodes[1]}"
			return
		fi
		sleep 0.01
	done
}
watch_memory 2>/dev/null &
pids+=($!)

for i in $(seq $users); do
	send 1 "report-$i" /nar/a --tokens 3079,932 \
		--body-bytes $body_bytes --kept /sta/a
	sleep $gap
done
wait_for_senders
write_record

# The rule: a request from a kept channel was passed on to a sound engine, and
# the channel ended without an answer, more than three times.
lost=$(awk '
$3 == "runs" { ran[$4] = 1 }
$2 == "client" && $13 != "whole" { ended[$3] = 1 }
END {
	for (id in ended)
		lost += ran[id]
	print lost + 0
}' "$record")
whole=$(grep -c ' end whole' "$record" || true)
echo "$whole of $users reports whole; $lost lost; at most" \
	"$(tail -n 1 "$work/most") kB" | tee -a "$record"
[ "$lost" -le 3 ] || exit 1
[ "$whole" -eq $users ] || cannot_run "not all requests are answered"

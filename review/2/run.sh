#!/usr/bin/env bash
# Another writer's entry holds bytes that can't be read. Do the nodes go on with
# the other entries?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"

start_store
write_document
for i in 1 2 3; do
	start_engine $i $model_service 24 --gap-ms 15
done
for i in 4 5 6; do
	start_engine $i $plain_service 6 --plain --delay-ms 200
done
start_nodes 3
sleep 1

# Reports under way at each node, and then calls that may not be repeated.
for i in $(seq 15); do
	send $((i % 3 + 1)) "report-$i" /nar/a --tokens 3079,932 \
		--body-bytes 2600 --kept /sta/a
done
sleep 1
for i in $(seq 12); do
	send $((i % 3 + 1)) "export-$i" /exp/a --deadline-ms 2500 \
		--body-bytes 600 --kept /sta/a
done
# The short request before each takes 200 ms, and so does the call itself.
sleep 0.3
if [ "$trouble" != 0 ]; then
	say "another writer writes servers/other"
	head -c 262144 /dev/zero | tr '\0' '[' >"$work/other"
	put servers/other "$work/other"
fi

# The platform starts a process again that has ended, a second later.
ends=0
starts=(0 0 0 0)
watch_nodes() {
	for _ in $(seq 80); do
		sleep 0.1
		for n in 1 2 3; do
			[ -n "${nodes[$n]}" ] || continue
			kill -0 "${nodes[$n]}" && continue
			code=0
			wait "${nodes[$n]}" || code=$?
			say "node $n has ended by itself, status $code"
			ends=$((ends + 1))
			nodes[$n]=
			starts[$n]=$((starts[$n] + 1))
			[ "${starts[$n]}" -gt 3 ] || {
				sleep 1
				start_node $n
			}
		done
	done
}
watch_nodes 2>/dev/null
wait_for_senders
ready=0
for n in 1 2 3; do
	! is_ready $n || ready=$((ready + 1))
done
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
echo "$whole of 27 answers whole; $lost lost; processes ended $ends times;" \
	"$ready of 3 nodes ready at the end" | tee -a "$record"
[ "$lost" -le 3 ] || exit 1
[ "$whole" -eq 27 ] || cannot_run "not all requests are answered"

#!/usr/bin/env bash
# Consumers read slowly: each stops for some seconds in the middle of its
# answer. Do they get the rest when they read on?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"

# Less than the 7.2 s after which a consumer itself gives a stream up.
pause_ms=5000
[ "$trouble" != 0 ] || pause_ms=0
reports=12

start_store
write_document
for i in 1 2 3; do
	start_engine $i $model_service 24 --gap-ms 15 --event-bytes 260
	start_engine $((i + 3)) $plain_service 6 --plain --delay-ms 30
done
start_nodes 4
sleep 1

hup_ms=$(now_ms)
say "SIGHUP of node 1"
kill -HUP "${nodes[1]}"
for i in $(seq $reports); do
	send $((i % 4 + 1)) "report-$i" /nar/a --tokens 3079,932 \
		--body-bytes 2600 --kept /sta/a --receive-buffer 8192 \
		--pause-at 12000 --pause-ms $pause_ms
	sleep 0.05
done
wait_for_senders
write_record
grep -h 'event=request_end' "$work"/node*.out | grep -v before >>"$record" || true

# The rule: around a SIGHUP, and with no unplanned disturbance, the machine has
# read and passed on a request that was sent up to config_apply_ms after it, and
# the channel ends without a complete answer. And in any case: more than three
# requests from kept channels, passed on to sound engines, end so.
awk -v hup=$hup_ms '
$3 == "runs" { ran[$4] = 1 }
$2 == "client" && $13 != "whole" { ended[$3] = $1 }
END {
	for (id in ended) {
		number = id
		sub(/.*-/, "", number)
		lost += ran[id]
		if (ran[id] && number % 4 == 0 && ended[id] <= hup + 2000)
			planned++
	}
	print lost + 0, planned + 0
}' "$record" >"$work/verdict"
read -r lost planned <"$work/verdict"
whole=$(grep -c ' end whole' "$record" || true)
echo "$whole of $reports reports whole; $lost lost," \
	"$planned of them after the SIGHUP" | tee -a "$record"
[ "$planned" -eq 0 ] && [ "$lost" -le 3 ] || exit 1
[ "$whole" -eq $reports ] || cannot_run "not all requests are answered"

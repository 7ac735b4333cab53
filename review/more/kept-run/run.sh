#!/usr/bin/env bash
# An engine is emptied and taken away: its entry is removed, and it serves on.
# The other engines turn requests away for a moment. Do the reports that ran at
# the leaving engine come to their end?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../../common.sh"

# VARIANT=draining: the entry says so, and stays. VARIANT=late: the same, and the
# other engines are silent for 1.2 s before they turn a request away.
variant=${VARIANT:-}
refusal_ms=0
[ "$variant" != late ] || refusal_ms=1200
reports=64
engines=8 # one of them leaves: a share of 0.125
start_store
write_document
for i in $(seq $engines); do
	rest=()
	[ $i = 1 ] || rest=(--rest-file "$work/rest" \
		--refusal-ms $refusal_ms)
	start_engine $i $model_service 24 --gap-ms 25 "${rest[@]}"
done
for i in 21 22 23; do
	start_engine $i $plain_service 6 --plain --delay-ms 30
done
start_nodes 2
sleep 3

hup_ms=$(now_ms)
say "SIGHUP of node 1"
kill -HUP "${nodes[1]}"
for i in $(seq $reports); do
	send $((i % 2 + 1)) "report-$i" /nar/a --tokens 1000,932 \
		--body-bytes 2600 --kept /sta/a
	sleep 0.02
done
sleep 1.2
if [ "$trouble" != 0 ]; then
	say "engine 1 leaves, ${variant:-its entry is removed}; it serves on"
	if [ -n "$variant" ]; then
		sed 's/"ready"/"draining"/; s/"sequence":1/"sequence":2/' \
			"$work/entry1" >"$work/entry"
		put servers/i-1 "$work/entry"
	else
		$client delete "$store" servers/i-1 || cannot_run "delete"
	fi
	sleep 0.2
	touch "$work/rest"
	say "the other engines turn requests away"
	sleep 1
	rm "$work/rest"
	say "the other engines take requests again"
fi
wait_for_senders
write_record
grep -h 'run_stop\|attempt_failed\|request_end' "$work"/node*.out \
	>>"$record" || true

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
		if (ran[id] && number % 2 == 0 && ended[id] <= hup + 2000)
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

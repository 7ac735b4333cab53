#!/usr/bin/env bash
# A machine stands still for a second while another one is killed and starts
# again. Is each request run by the service of its route?
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
# Two names that the bench drew on one day. Both services have the same home
# among the seven nodes, node 4; any two have with a chance of one in seven.
model_service=dele69a
plain_service=xano55b
. "$here/../common.sh"

start_store
write_document
for i in 1 2 3; do
	start_engine $i $model_service 24 --gap-ms 15 --limit 6
	start_engine $((i + 3)) $plain_service 6 --plain --delay-ms 30 --limit 6
done
start_nodes 7
sleep 3.5

# Other machines get answers that name the limits, and tell the rest.
for i in 1 2 3 4 5 6; do
	send $((i % 2 + 2)) "check-$i" /chk/a --tokens 550,12 --deadline-ms 6000
	send $((i % 2 + 5)) "before-$i" /exp/a --deadline-ms 2500 \
		--body-bytes 600
	sleep 0.2
done
sleep 1.5

if [ "$trouble" != 0 ]; then
	say "node 4 stands still"
	kill -STOP "${nodes[4]}"
fi
at=$(($(now_ms) + 100))
for i in 1 2 3 4; do
	send 1 "report-$i" /nar/a --tokens 3079,100 --body-bytes 2600 --at $at
done
sleep_until $((at + 100))
if [ "$trouble" != 0 ]; then
	say "node 1 is killed and starts again"
	mv "$work/node1.out" "$work/node1.before"
	kill -KILL "${nodes[1]}"
	wait "${nodes[1]}" 2>/dev/null || true
	start_node 1
	# It is told the limits of the six engines by other nodes.
	for _ in $(seq 70); do
		[ "$(grep -c endpoint_limit "$work/node1.out")" -lt 6 ] || break
		sleep 0.02
	done
	sleep 0.4
fi
at=$(($(now_ms) + 100))
for i in 1 2 3 4; do
	send 1 "export-$i" /exp/a --deadline-ms 2500 --body-bytes 600 --at $at
done
sleep_until $((at + 40))
if [ "$trouble" != 0 ]; then
	kill -CONT "${nodes[4]}"
	say "node 4 wakes"
fi
wait_for_senders
write_record
grep -h 'endpoint_limit\|home_silent\|request_placed\|request_end' \
	"$work/node1.out" >>"$record" || true

# The rule: a request is run by a service to which no desired state allows it
# to go. Engines 1 to 3 are of one service, 4 to 6 of the other.
foreign=$(awk '
$3 == "runs" && $4 ~ /^(export|before)-/ && $2 ~ /^i-[123]$/ { count++ }
$3 == "runs" && $4 ~ /^(report|check)-/ && $2 ~ /^i-[456]$/ { count++ }
END { print count + 0 }' "$record")
served=$(grep -c 'client export-.* status 200' "$record" || true)
echo "$foreign requests were run by the other service;" \
	"$served of 4 exports answered 200" | tee -a "$record"
[ "$foreign" -eq 0 ] || exit 1

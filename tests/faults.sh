#!/usr/bin/env bash
# Tests of process faults, checked by what callers received and by what the
# endpoints ran. Waits are bounded polls; no result depends on their speed.
# faults.sh BIN [CASE]
set -euo pipefail

bin=$1
only=${2:-}
cd "$(dirname "$0")/.."
# shellcheck source=tests/processes.sh
. tests/processes.sh

passed=0
failed=0

# Records a failure of the running case and continues, so that the case still
# restores what it changed.
fail() {
	report_failure "  $*"
	case_failed=1
}

# call NODE HEADERS...: the arguments of curl for one call of atlas.
call() {
	local node=$1

	shift
	curl -sN -m 60 -H "Authorization: Bearer $organisation_key" "$@" \
		"http://$node$path"
}

# stream NODE TOKENS FILE HEADERS...: a streamed report into a file.
stream() {
	local node=$1 tokens=$2 file=$3

	shift 3
	path=/v1/completions call "$node" "$@" -d "{\"model\":\"report-writer\",
		\"stream\":true,\"prompt\":\"report [[tokens=$tokens]]\"}" \
		>"$file" || true
}

order() {
	local node=$1 id=$2

	shift 2
	path=/svc/portal/orders call "$node" -H "Idempotency-Key: $id" \
		-H 'X-Non-Idempotent: true' -d "{\"order\":\"$id\"}" "$@"
}

mode() {
	curl -s -m 10 -d "$2" "http://$1/fake/mode" >/dev/null
}

# runs_of TEXT: how often the plain service ran an order with this body.
runs_of() {
	local digest

	digest=$(printf '{"order":"%s"}' "$1" | sha256sum | cut -d' ' -f1)
	curl -s "http://$service/fake/runs" |
		jq "[.[] | select(.body_sha256 == \"$digest\")] | length"
}

last_id() {
	awk '/^id: / { id = $2 } END { print id }' "$1"
}

# Tokens of all events of the streams, one a line: GENERATION.OFFSET.
tokens_of() {
	sed -n 's/^data: //p' "$@" | grep -v '^\[DONE\]' |
		jq -r 'select(.choices) | .choices[0].text' |
		tr ' ' '\n' | grep . || true
}

# is_whole TOKENS FILE...: each token once, in order, of one generation.
is_whole() {
	local tokens=$1

	shift
	[ "$(tokens_of "$@" | cut -d. -f1 | sort -u | wc -l)" = 1 ] &&
		[ "$(tokens_of "$@" | cut -d. -f2)" = \
			"$(seq 0 $((tokens - 1)))" ] &&
		grep -q '^data: \[DONE\]' "${@: -1}"
}

whole_once() {
	is_whole "$@" && return
	fail "not each token once, in order, of one generation, to the end:" \
		"$(tokens_of "${@:2}" | wc -l) tokens," \
		"$(tail -n 2 "${@: -1}" | tr '\n' ' ')"
}

prefix_of() {
	curl -s "http://${https[$1]}/v1/nodes" |
		jq -r ".nodes[] | select(.name == \"entry-$2\") | .id_prefix"
}

knows_all() {
	[ "$(curl -s "http://${https[$1]}/v1/nodes" |
		jq '.nodes | length')" = 3 ]
}

# The caller's node is killed during a report. The caller resumes at another
# node with the id of its last event, and gets the remaining tokens of the same
# generation: each token once.
case_node_killed_mid_stream() {
	stream "${https[2]}" 400 "$work/first" &
	reader=$!
	until_true has_events "$work/first" 20
	kill -KILL "${node_pids[2]}"
	wait "$reader" || true
	keep_complete_events "$work/first"
	stream "${https[0]}" 400 "$work/rest" \
		-H "Last-Event-ID: $(last_id "$work/first")"
	whole_once 400 "$work/first" "$work/rest"
	start_node 2
	until_true knows_all 0 || fail "the nodes do not find each other"
}

# Drops the last event if it is incomplete.
keep_complete_events() {
	awk '/^id: / { id = $0; data = "" } /^data: / { data = $0 }
		/^$/ && data { print id; print data; print ""; data = "" }' \
		"$1" >"$1.whole"
	mv "$1.whole" "$1"
}

# The node that issued an order's id is paused. The order, sent to it and
# then to another node, gets "unknown" there, and runs at most once, also when
# the first node resumes and finds the order in its socket.
case_issuer_paused() {
	local id

	id=$(prefix_of 0 1)paused
	kill -STOP "${node_pids[1]}"
	order "${https[1]}" "$id" -m 2 >/dev/null || true
	order "${https[0]}" "$id" -m 40 >"$work/answer" || true
	kill -CONT "${node_pids[1]}"
	grep -q '"run":"unknown"' "$work/answer" ||
		fail "answered $(cat "$work/answer")"
	until_true knows_all 0 || fail "the nodes do not find each other"
	order "${https[1]}" "$id" >"$work/answer" || true
	[ "$(runs_of "$id")" -le 1 ] || fail "ran twice"
}

# The issuer is killed with the order in flight and replaced under its name
# and address. No node may run the order again, since it may have run.
case_issuer_replaced() {
	local id

	id=$(prefix_of 0 1)replaced
	mode "$service" '{"stall":true}'
	order "${https[1]}" "$id" -m 2 >/dev/null || true
	kill -KILL "${node_pids[1]}"
	mode "$service" '{"stall":false}'
	start_node 1
	until_true knows_all 0 || fail "the nodes do not find each other"
	in_force "${https[1]}"
	for i in 0 1 2; do
		order "${https[$i]}" "$id" >"$work/answer"
		grep -q '"run":"unknown"' "$work/answer" ||
			fail "node $i answered $(cat "$work/answer")"
	done
	[ "$(runs_of "$id")" -le 1 ] || fail "ran twice"
}

# The plain service runs the order and closes without an answer. The caller
# learns that it may have run, and the same id does not run again.
case_answer_lost_at_endpoint() {
	local id

	id=$(prefix_of 0 0)lost
	mode "$service" '{"drop_after_run":true}'
	order "${https[0]}" "$id" >"$work/answer"
	mode "$service" '{"drop_after_run":false}'
	grep -q '"run":"unknown"' "$work/answer" ||
		fail "answered $(cat "$work/answer")"
	order "${https[0]}" "$id" >"$work/answer"
	order "${https[2]}" "$id" >"$work/answer"
	[ "$(runs_of "$id")" = 1 ] || fail "ran $(runs_of "$id") times"
}

# The key-value service applies the claim of an order and loses the answer.
# The order still runs exactly once, also when it is sent again to another node.
case_claim_answer_lost() {
	mode "$kv" '{"lose_answers":1}'
	order "${https[0]}" claim-lost >"$work/answer"
	mode "$kv" '{"lose_answers":0}'
	order "${https[0]}" claim-lost >"$work/answer"
	order "${https[1]}" claim-lost >"$work/answer"
	grep -q '"run":1' "$work/answer" ||
		fail "answered $(cat "$work/answer")"
	[ "$(runs_of claim-lost)" = 1 ] || fail "ran $(runs_of claim-lost) times"
}

# The key-value service is down. An order with a key of the caller's own is
# not run, and not answered "not run" either, since a node cannot know whether
# another one ran it; one with an issued id runs; reports continue; a node that
# starts during the outage gets its configuration from the others.
case_kv_down() {
	local id

	mode "$kv" '{"down":true}'
	order "${https[0]}" outage >"$work/answer"
	grep -q '"run":"unknown"' "$work/answer" ||
		fail "answered $(cat "$work/answer")"
	[ "$(runs_of outage)" = 0 ] || fail "ran though refused"
	id=$(prefix_of 0 0)outage
	order "${https[0]}" "$id" >"$work/answer"
	[ "$(runs_of "$id")" = 1 ] || fail "the issued id did not run"
	kill -KILL "${node_pids[2]}"
	start_node 2
	in_force "${https[2]}"
	stream "${https[2]}" 30 "$work/first"
	whole_once 30 "$work/first"
	mode "$kv" '{"down":false}'
	until_true knows_all 0 || fail "the nodes do not find each other"
}

# An engine crashes during a report. The caller gets a typed end and no token of
# another generation; the same report sent again is answered completely.
case_engine_crash_mid_stream() {
	stream "${https[0]}" 2000 "$work/first" &
	reader=$!
	until_true has_events "$work/first" 20
	kill -KILL "${engine_pids[@]}"
	wait "$reader" || true
	for i in 0 1 2; do
		start_engine "$i"
	done
	grep -q '^event: error' "$work/first" || fail "no typed end"
	! grep -q '^data: \[DONE\]' "$work/first" || fail "ended as if whole"
	[ "$(tokens_of "$work/first" | cut -d. -f1 | sort -u | wc -l)" = 1 ] ||
		fail "tokens of more than one generation"
	until_true report_comes_whole || fail "no whole report afterwards"
}

report_comes_whole() {
	stream "${https[0]}" 30 "$work/second"
	is_whole 30 "$work/second"
}

# The link to the engine stalls without closing. The node reattaches to the
# same generation and the caller gets each token once.
case_engine_link_stalls() {
	stream "${https[0]}" 300 "$work/first" &
	reader=$!
	until_true has_events "$work/first" 20
	for engine in "${engines[@]}"; do
		mode "$engine" '{"stall_link_ms":3000}'
	done
	wait "$reader" || true
	whole_once 300 "$work/first"
}

# A node gets the signal to stop during a report. The report completes, a caller
# that still uses the old address is served, and the node exits by itself with
# status 0.
case_drain() {
	local status=0

	stream "${https[2]}" 300 "$work/first" &
	reader=$!
	until_true has_events "$work/first" 20
	kill -TERM "${node_pids[2]}"
	stream "${https[2]}" 20 "$work/second"
	wait "$reader" || true
	wait "${node_pids[2]}" || status=$?
	[ "$status" = 0 ] || fail "ended with status $status"
	whole_once 300 "$work/first"
	whole_once 20 "$work/second"
	start_node 2
	until_true knows_all 0 || fail "the nodes do not find each other"
}

# An engine announces in its load report that it leaves. After a few seconds no
# node sends a new report to it.
case_engine_leaves() {
	mode "${engines[0]}" '{"leaving":true}'
	until_true all_know_leaving || fail "not all nodes know that it leaves"
	before=$(curl -s "http://${engines[0]}/fake/runs" | jq length)
	for i in 0 1 2 0 1 2; do
		stream "${https[$i]}" 5 "$work/first"
		whole_once 5 "$work/first"
	done
	after=$(curl -s "http://${engines[0]}/fake/runs" | jq length)
	mode "${engines[0]}" '{"leaving":false}'
	[ "$before" = "$after" ] || fail "new work after it left"
}

all_know_leaving() {
	for i in 0 1 2; do
		curl -s -H "Authorization: Bearer $operator_key" \
			"http://${https[$i]}/admin/v1/dump" |
			jq -e '.leaving | length == 1' >/dev/null || return 1
	done
}

# The answer to a confirmation is lost after it took effect. Confirming again
# returns that it did; the revision is in force at all nodes, and never reverts.
case_confirm_answer_lost() {
	local plan status=0

	cat >"$work/second.toml" <<-TOML
		[[organisations]]
		name = "kgotso"
		key = "kgotso-organisation-key"
	TOML
	plan=$("${ctl[@]}" plan "$work/second.toml" |
		awk '/^plan / { print $2 }')
	mode "$kv" '{"lose_answers":2}'
	"${ctl[@]}" confirm "$plan" >"$work/answer" 2>&1 || status=$?
	mode "$kv" '{"lose_answers":0}'
	[ "$status" = 0 ] || [ "$status" = 4 ] ||
		fail "status $status: $(cat "$work/answer")"
	"${ctl[@]}" confirm "$plan" >"$work/answer" 2>&1 ||
		fail "confirmed again: $(cat "$work/answer")"
	until_true all_serve_kgotso || fail "not in force everywhere"
}

all_serve_kgotso() {
	for i in 0 1 2; do
		"$bin/siskinlinkctl" --address "${https[$i]}" --json show |
			grep -q '"kgotso"' || return 1
	done
}

# Two operators plan on the same revision. One confirms; the other gets the
# answer that another plan was first, and nothing of its own plan is in force.
case_operators_race() {
	local first second status=0

	printf '[[organisations]]\nname = "race-a"\nkey = "race-a-key-0001"\n' \
		>"$work/a.toml"
	printf '[[organisations]]\nname = "race-b"\nkey = "race-b-key-0001"\n' \
		>"$work/b.toml"
	first=$("${ctl[@]}" plan "$work/a.toml" | awk '/^plan / { print $2 }')
	other=("$bin/siskinlinkctl" --address "${https[1]}" --operator other)
	second=$("${other[@]}" plan "$work/b.toml" |
		awk '/^plan / { print $2 }')
	"${ctl[@]}" confirm "$first" >/dev/null
	"${other[@]}" confirm "$second" >"$work/answer" 2>&1 || status=$?
	[ "$status" = 1 ] || fail "status $status: $(cat "$work/answer")"
	! "${other[@]}" --json show | grep -q race-b || fail "race-b in force"
}

start_fakes
extra_times='stall_timeout_ms = 1000'
start_nodes
configure
until_true knows_all 0
for name in $(declare -F | awk '$3 ~ /^case_/ { print $3 }'); do
	[ -z "$only" ] || [ "$name" = "case_$only" ] || continue
	case_failed=0
	ends=$(own_ends)
	"$name" || case_failed=1
	[ "$ends" = "$(own_ends)" ] || case_failed=1
	if [ "$case_failed" = 0 ]; then
		passed=$((passed + 1))
		echo "ok     $name"
	else
		failed=$((failed + 1))
		report_failure "FAILED $name"
	fi
done
echo "faults: $passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]

#!/usr/bin/env bash
# Runs the gateway as processes on loopback: two nodes, a simulated platform
# store, and simulated endpoints: three model engines and two plain ones. The
# comment of each case gives the events and the expected result. Cases check what
# callers received and what the engines report to have run.
#
#     tests/gateway.sh BIN [CASE...]
#     tests/gateway.sh --list
set -eu
if [ "$1" = --list ]; then
	sed -n 's/^case_\([a-z0-9_]*\)() {$/\1/p' "$0" | sort
	exit 0
fi
bin=$(cd "$1" && pwd)
shift
cd "$(dirname "$0")/.."
. tests/processes.sh

host=reports.example
key=caller-key-0001
fronts=()
readies=()
directories=()
backends=()
backend_pids=()
version=1
passed=0
failed=0
failures=0

fail() {
	report_failure "    $*"
	failures=$((failures + 1))
}

# save_up RETRIES: waits until a node has this much retry credit, whatever was
# used before. 35% of 60 are restored in 10 s, a sixth of them to each node.
save_up() {
	sleep $((3 * $1))
}

put() { # KEY VALUE
	jq -n --arg key "$1" --arg value "$2" '{key: $key, value: $value}' |
		curl -sf -X POST --data @- "http://$store/fake/put" >/dev/null
}

mode() { # ADDRESS JSON
	curl -sf -X POST --data "$2" "http://$1/fake/mode" >/dev/null
}

state() { # ENGINE FIELD
	curl -s "http://${backends[$1]}/fake/state" | jq -r ".$2"
}

born=1780000000000 # of the engines that register
borns=() # of each engine's last start
warmup_ms=0 # for which they are cold

# An entry that says that an engine leaves is of the start that registered.
entry() { # ENGINE SERVICE STATE
	[ "$3" = draining ] || borns[$1]=$born
	put "servers/i-$1" "$(jq -nc --arg s "$2" --arg a "${backends[$1]}" \
		--arg st "$3" --argjson born "${borns[$1]}" --argjson cold "$warmup_ms" '{service: $s, address: $a, zone: "z",
		version: "v1", slots: 24, state: $st, warmup_left_ms: $cold,
		sequence: 1, born: $born}')"
}

# written ENGINE SERVICE STATE COUNT BORN: writes what this report of the start
# says.
written() {
	put "servers/i-$1" "$(jq -nc --arg s "$2" --arg a "${backends[$1]}" \
		--arg st "$3" --argjson n "$4" --argjson born "$5" \
		'{service: $s, address: $a, zone: "z", version: "v1", slots: 24,
		state: $st, warmup_left_ms: 0, sequence: $n, born: $born}')"
}

document() { # KEYS...
	version=$((version + 1))
	put op/config "$(jq -nc --argjson v "$version" --args '{version: $v,
		routes: [
		{name: "report", host: "'$host'", path_prefix: "/report/",
		kind: "streaming", timeout_ms: 20000, slo_ms: 1800, priority: 0,
		service: "engines", max_attempts: 1, gap_target_ms: 180},
		{name: "lookup", host: "'$host'", path_prefix: "/lookup/",
		kind: "safe", timeout_ms: 1500, slo_ms: 150, priority: 2,
		service: "portal", max_attempts: 2},
		{name: "export", host: "'$host'", path_prefix: "/lookup/export/",
		kind: "unsafe", timeout_ms: 1500, slo_ms: 150, priority: 2,
		service: "portal", max_attempts: 1}],
		services: [{name: "engines", health_path: "/health",
		warmup_per_s: '"${warmup_per_s:-0}"', engine: {slots: 24,
		kv_cache_tokens: 34000, stride: 4, migrations: true,
		backups: '"${backups:-true}"', handle_ttl_s: 5}},
		{name: "portal", health_path: "/health"}],
		limits: {header_bytes: 4096, max_body_bytes: '"${max_body_bytes:-65536}"',
		header_timeout_ms: 800, idle_timeout_ms: '"${idle_ms:-15000}"'},
		tenants: [{name: "atlas", keys: $ARGS.positional}]}' "$@")"
}

start_backend() { # ENGINE SERVICE [OPTIONS]
	local i=$1 service=$2

	shift 2
	start "backend$i" "$bin/fake_backend" --address 127.0.0.1:0 \
		--id "i-$i" --journal "$work/backend$i.journal" "$@"
	backends[$i]=$address
	backend_pids[$i]=$started
	entry "$i" "$service" ready
}

write_node() { # NODE
	cat >"$work/g$1.toml" <<-TOML
		[node]
		name = "entry-$1"
		region = "casablanca"
		failure_domain = "z"
		http_address = "${https[$1]}"
		peer_address = "${peers[$1]}"
		seeds = [${seeds:-"\"${peers[0]}\", \"${peers[1]}\""}]
		[keys]
		operator_key = "$operator_key"
		[gateway]
		address = "${fronts[$1]}"
		ready_address = "${readies[$1]}"
		directory_address = "${directories[$1]}"
		store_address = "$store"
		drain_s = ${drain_s:-4}
		retry_ratio = 0.2
		retry_extra = 60
		home_from_nodes = ${home_from_nodes:-16}
		[limits]
		memory_mb = ${memory_mb:-96}
	TOML
}

start_gateway() { # NODE
	[ ! -f "$work/g$1.out" ] || cat "$work/g$1.out" >>"$work/g$1.earlier.out"
	start "g$1" "$bin/siskinlinkd" --config "$work/g$1.toml"
	node_pids[$1]=$started
	until_true is_ready "$1" || fail "node $1 does not become ready"
}

# logged TEXT: whether it stands in the log of the first node.
logged() {
	grep -q "$1" "$work/g0.out"
}

is_ready() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://${readies[$1]}/v1/ready")" = 200 ]
}

# ask NODE PATH [CURL OPTIONS]: prints status and body of one request, whose id
# names the node.
ask() {
	local node=$1 path=$2

	shift 2
	curl -s -m 20 -w '%{http_code}' -H "Host: $host" \
		-H "X-Siskinlink-Request-Id: r-$node-$RANDOM$RANDOM" \
		-H "Authorization: Bearer $key" "$@" \
		"http://${fronts[$node]}$path"
}

# report NODE FILE ID: requests a streamed report and writes it to a file.
report() {
	curl -s -m 20 -N -X POST -H "Host: $host" \
		-H "X-Siskinlink-Request-Id: $3" \
		-H "X-Siskinlink-Token-Count: 1000,400" \
		-H "Authorization: Bearer $key" --data "text of $3" \
		"http://${fronts[$1]}/report/a" >"$2"
}

# events N: sets the number of events of each generation that an engine starts
# from now on. A case with slow steps needs runs that outlast them, also on a
# busy machine.
events() {
	for i in 0 1 2; do
		mode "${backends[$i]}" "{\"events\": $1}"
	done
}

# streams FILE EVENTS: waits until this many events have arrived.
streams() {
	until_true has_events "$1" "$2" || fail "no stream in $1: $(head -c 300 "$1")"
}

# Checks that a file has each event of a generation once, in order, to the end.
whole() { # FILE ID EVENTS
	[ "$(sed -n 's/^data: {"text":"\(.*\)"}/\1/p' "$1")" = \
		"$(seq -f "$2.%.0f" 0 $(($3 - 1)))" ] ||
		fail "$2: $(grep -c '^id: ' "$1") events, not $3 once in order"
}

# engine_of ID: the engine on which the log last placed the request.
engine_of() {
	grep -h "request=$1" "$work"/g*.out | grep -E 'request_placed|taken_over' |
		tail -n 1 | sed -E 's/.*( endpoint| to)=i-([0-9]+).*/\2/'
}

# The caller receives the engine's bytes. The engine receives the organisation of
# the caller's key and the time limit, but never the key, whatever organisation
# the caller claims.
case_passes_requests_on() {
	out=$(ask 0 "/lookup/a?b=c" -H "X-Siskinlink-Tenant: other")
	case $out in
	i-[34]" r-"*" /lookup/a200") ;;
	*) fail "answered $out" ;;
	esac
	seen="$(state 3 tenant)$(state 4 tenant)"
	[ "${seen#*atlas}" != "$seen" ] || fail "the engines saw $seen"
	[ "$(state 3 saw_key)$(state 4 saw_key)" = falsefalse ] ||
		fail "an engine saw the key"
}

refused() { # STATUS OUTPUT
	[ "${2: -3}" = "$1" ] || fail "answered $2, not $1"
}

# A request that can't be served is refused with a matching status and does not
# reach an engine.
case_refuses() {
	before=$(($(state 3 runs) + $(state 4 runs)))
	refused 404 "$(ask 0 /nowhere/)"
	refused 401 "$(key=unknown ask 0 /lookup/a)"
	refused 413 "$(ask 0 /lookup/a --data-binary "@$work/large")"
	refused 431 "$(ask 0 /lookup/a -H "Long: $(printf '%05000d' 0)")"
	refused 400 "$(curl -s -w '%{http_code}' -H "Host: $host" \
		-H "Authorization: Bearer $key" "http://${fronts[0]}/lookup/a")"
	[ $(($(state 3 runs) + $(state 4 runs))) = "$before" ] ||
		fail "an engine ran a refused request"
}

# Request smuggling: a request with two lengths hides a second one in its body,
# which a server that applies the other length would run. The request is refused
# and the connection closed.
case_refuses_ambiguous_framing() {
	exec 3<>"/dev/tcp/${fronts[0]%:*}/${fronts[0]#*:}"
	printf 'POST /lookup/export/x HTTP/1.1\r\nHost: %s\r\nX-Siskinlink-Request-Id: s1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /lookup/hidden HTTP/1.1\r\nHost: %s\r\nX-Siskinlink-Request-Id: s2\r\n\r\n' \
		"$host" "$host" >&3
	answer=$(timeout 5 cat <&3 | tr -d '\r')
	exec 3>&-
	[ "$(grep -c '^HTTP/1.1' <<<"$answer")" = 1 ] &&
		grep -q '^HTTP/1.1 400' <<<"$answer" || fail "answered $answer"
}

# One endpoint of a plain service answers with its own 500. An idempotent
# request is retried once at the other one. A request that may run only once is
# not, and its caller gets the endpoint's own answer.
case_retries_only_what_may_run_again() {
	save_up 2
	mode "${backends[3]}" '{"failing": true}'
	for _ in 1 2 3 4 5 6; do
		out=$(ask 0 /lookup/a)
		[ "${out: -3}" = 200 ] || fail "an idempotent request got $out"
	done
	before=$(($(state 3 runs) + $(state 4 runs)))
	for _ in 1 2 3 4; do
		ask 1 /lookup/export/a -X POST >/dev/null
	done
	[ $(($(state 3 runs) + $(state 4 runs) - before)) = 4 ] ||
		fail "four requests that may run once ran otherwise"
	mode "${backends[3]}" '{"failing": false}'
}

# The engine is killed in the middle of a report. The request continues at the
# engine that holds the copy of its memory: each event once, in order.
case_goes_on_after_a_crash() {
	save_up 1
	report 0 "$work/crash" crash-1 &
	reader=$!
	streams "$work/crash" 20
	victim=$(engine_of crash-1)
	kill -KILL "${backend_pids[$victim]}"
	wait "$reader" || fail "the stream was cut"
	whole "$work/crash" crash-1 60
	start_backend "$victim" engines
}

# The engine announces that it leaves. New reports go to others within a second,
# and the running one moves before the old engine ends: no event is missing or
# repeated.
case_leaves_an_engine_under_notice() {
	save_up 1
	events 300
	report 0 "$work/leave" leave-1 &
	reader=$!
	streams "$work/leave" 5
	victim=$(engine_of leave-1)
	entry "$victim" engines draining
	wait "$reader" || fail "the stream was cut"
	whole "$work/leave" leave-1 300
	events 60
	[ "$(engine_of leave-1)" != "$victim" ] || fail "it stayed"
	before=$(state "$victim" runs)
	report 1 "$work/new" "new-$RANDOM"
	[ "$(state "$victim" runs)" = "$before" ] || fail "it got new work"
	entry "$victim" engines ready
}

# The backup copy is missing when the engine leaves. The engine continues the
# run until another engine has received a copy.
case_survives_a_missing_copy() {
	save_up 2
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"no_copy": true, "events": 150}'
	done
	report 0 "$work/copy" copy-1 &
	reader=$!
	streams "$work/copy" 5
	victim=$(engine_of copy-1)
	entry "$victim" engines draining
	wait "$reader" || fail "the stream was cut"
	whole "$work/copy" copy-1 150
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"no_copy": false, "events": 60}'
	done
	entry "$victim" engines ready
}

# All engines are full and answer that they did not run the request. The caller
# gets 503, which promises the same, and a Retry-After.
case_refuses_when_full() {
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"full": true}'
	done
	out=$(ask 0 /report/a -X POST -H "X-Siskinlink-Token-Count: 10,10" \
		-D "$work/full")
	[ "${out: -3}" = 503 ] || fail "answered $out"
	grep -qi '^retry-after: 0\.' "$work/full" || fail "no time to come back"
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"full": false}'
	done
	sleep 0.3
}

# The caller disconnects in the middle of a report. Its engine is notified within
# half a second and stops.
case_tells_the_engine_that_the_caller_left() {
	before=$(($(state 0 left) + $(state 1 left) + $(state 2 left)))
	report 0 "$work/left" left-1 &
	reader=$!
	streams "$work/left" 5
	kill -TERM $(pgrep -P "$reader")
	wait "$reader" || true
	engines_know() {
		[ $(($(state 0 left) + $(state 1 left) + $(state 2 left))) \
			-gt "$before" ]
	}
	until_true engines_know || fail "no engine heard of it"
}

# Sends requests to both nodes for a number of seconds, one after the other, and
# writes their statuses.
press() { # SECONDS FILE
	local end=$((SECONDS + $1))

	: >"$2"
	while [ "$SECONDS" -lt "$end" ]; do
		for i in 0 1; do
			ask "$i" /lookup/a -o /dev/null >>"$2"
			echo >>"$2"
		done
	done
}

# Guards against nodes that together send an endpoint more than the limit that it
# states: 3 a second. What is above it goes to the other endpoint while that has
# no limit, is rejected with a time to come back where both have one, and comes
# back to the endpoint when it states none any more.
case_holds_the_limit_of_an_endpoint() {
	local before ran

	mode "${backends[3]}" '{"server_limit": "3"}'
	press 1 "$work/limit"
	before=$(state 3 runs)
	press 4 "$work/limit"
	ran=$(($(state 3 runs) - before))
	[ "$ran" -le 23 ] || fail "$ran requests in 4 s at 3 a second"
	[ "$ran" -ge 1 ] || fail "it got no request"
	[ "$(sort -u "$work/limit")" = 200 ] ||
		fail "answered $(sort "$work/limit" | uniq -c | xargs)"
	mode "${backends[4]}" '{"server_limit": "0.5"}'
	press 1 "$work/limit"
	before=$(($(state 3 runs) + $(state 4 runs)))
	press 4 "$work/limit"
	ran=$(($(state 3 runs) + $(state 4 runs) - before))
	[ "$ran" -le 31 ] || fail "$ran requests in 4 s at 3.5 a second"
	[ "$ran" -ge 7 ] || fail "$ran requests in 4 s, of 14"
	[ "$(sort -u "$work/limit" | xargs)" = "200 503" ] ||
		fail "answered $(sort "$work/limit" | uniq -c | xargs)"
	for _ in $(seq 20); do
		out=$(ask 0 /lookup/a -D "$work/limit.head")
		[ "${out: -3}" = 200 ] || break
	done
	[ "${out: -3}" = 503 ] || fail "twenty at once were answered $out"
	grep -qi '^retry-after: ' "$work/limit.head" ||
		fail "no time to come back: $(head -n 1 "$work/limit.head")"
	grep -q 'outcome=refused reason=endpoint_limit' "$work/g0.out" ||
		fail "no reason in the log"
	for i in 3 4; do
		mode "${backends[$i]}" '{"server_limit": ""}'
	done
	is_lifted() {
		press 1 "$work/limit"
		[ "$(sort -u "$work/limit")" = 200 ]
	}
	until_true is_lifted || fail "the limit stays"
}

# arrivals ENGINE LINE FROM_MS UNTIL_MS [IDS]: prints how many requests have
# reached the endpoint in this time after the first one that its journal holds
# after LINE; with IDS only those whose ids begin so, the first one too.
arrivals() {
	tail -n +$(($2 + 1)) "$work/backend$1.journal" |
		awk -v from="$3" -v until="$4" -v ids="${5:-r-}" '
		$2 == "arrival" && index($3, ids) == 1 {
			if (!first)
				first = $1
			ms = ($1 - first) / 1000
			n += ms >= from && ms < until
		}
		END { print n + 0 }'
}

# journaled ENGINE: the number of lines in the endpoint's journal.
journaled() {
	wc -l <"$work/backend$1.journal"
}

# start_anew ENGINE SERVICE [OPTIONS]: ends the endpoint and starts it under the
# same id.
start_anew() {
	kill -KILL "${backend_pids[$1]}" 2>/dev/null || true
	wait "${backend_pids[$1]}" 2>/dev/null || true
	born=$((born + 1000))
	start_backend "$@"
}

# Restarts both nodes, so that neither prefers an endpoint for what it answered
# in earlier cases; one of these leaves an older document in the store, which
# nodes that start take.
restart_nodes() {
	local i

	document "$key"
	for i in 0 1; do
		kill -KILL "${node_pids[$i]}"
		wait "${node_pids[$i]}" 2>/dev/null || true
		start_gateway "$i"
	done
}

# reaches ENGINE NODE: whether a request by the node reaches the endpoint.
reaches() {
	local before

	before=$(journaled "$1")
	ask "$2" /lookup/a >/dev/null
	[ "$(journaled "$1")" -gt "$before" ]
}

# Endpoint 3 says in its answers that it leaves: checks that both nodes send it
# nothing after 2 s, and that callers are served by the other one.
leaves_for_good() { # WHEN
	local since late

	since=$(journaled 3)
	mode "${backends[3]}" '{"says_leaving": true}'
	press 6 "$work/leaving"
	[ "$(arrivals 3 "$since" 0 2000)" -ge 1 ] ||
		fail "$1: it was not asked once"
	late=$(arrivals 3 "$since" 2000 60000)
	[ "$late" = 0 ] || fail "$1: $late requests later than 2 s"
	[ "$(sort -u "$work/leaving")" = 200 ] ||
		fail "$1: answered $(sort "$work/leaving" | uniq -c | xargs)"
	for i in 0 1; do
		grep 'event=endpoint endpoint=i-3 ' "$work/g$i.out" |
			tail -n 1 | grep 'state=leaving ' \
			>>"$work/leaving.why" ||
			fail "$1: node $i does not tell that it leaves"
	done
	grep -q 'source="its answer"' "$work/leaving.why" ||
		fail "$1: the log does not tell why it is not used"
	rm "$work/leaving.why"
}

# Guards against requests to an endpoint that tells only in its answers that it
# leaves, also without the store, and as an older entry comes back with it.
case_leaves_by_its_answers() {
	local since late i

	restart_nodes
	save_up 1
	leaves_for_good "with the store"
	start_anew 3 portal --plain
	for i in 0 1; do
		until_true reaches 3 "$i" ||
			fail "node $i sends nothing to its next start"
	done
	mode "$store" '{"down": true}'
	since=$(journaled 3)
	leaves_for_good "without the store"
	mode "$store" '{"down": false}'
	press 4 "$work/leaving"
	late=$(arrivals 3 "$since" 2000 60000)
	[ "$late" = 0 ] || fail "$late requests as the store was back"
	start_anew 3 portal --plain
	for i in 0 1; do
		until_true reaches 3 "$i" ||
			fail "node $i sends nothing to the start after that"
	done
}

# keeps_out WHAT WRITE...: starts endpoint 3 anew, which drains as these reports
# are written, STATE:COUNT:EARLIER_MS or "removed", and checks that nodes send it
# nothing from 1 s after the last one.
keeps_out() {
	local what=$1 write state count earlier before i

	shift
	start_anew 3 portal --plain
	for i in 0 1; do
		until_true reaches 3 "$i" || fail "$what: node $i doesn't use it"
	done
	mode "${backends[3]}" '{"draining": true}'
	for write; do
		if [ "$write" = removed ]; then
			unregister i-3
		else
			IFS=: read -r state count earlier <<<"$write"
			written 3 portal "$state" "$count" $((born - earlier))
		fi
		sleep 0.3
	done
	sleep 0.7
	before=$(journaled 3)
	press 1 "$work/older"
	[ "$(journaled 3)" = "$before" ] || fail "$what: it is used again"
	[ "$(sort -u "$work/older")" = 200 ] ||
		fail "$what: answered $(sort "$work/older" | uniq -c | xargs)"
}

# Guards against requests to an engine that has said that it leaves, or whose
# entry is gone, as an older report of it is written late.
case_keeps_to_the_last_word_of_an_engine() {
	restart_nodes
	save_up 1
	keeps_out "an older report" draining:8:0 ready:6:0
	keeps_out "after a removal" draining:8:0 removed ready:6:0
	keeps_out "without a word" ready:7:0 removed ready:6:0
	keeps_out "the same report" ready:7:0 removed ready:7:0
	keeps_out "a later report" removed ready:49:0
	keeps_out "a start before" draining:8:0 ready:50:10000
	start_anew 3 portal --plain
	for i in 0 1; do
		until_true reaches 3 "$i" || fail "node $i doesn't use its next start"
	done
}

# Guards against an engine that is used again by its report, which may be older
# than its answer to the status check.
case_believes_the_status_before_the_report() {
	start_anew 0 engines
	mode "${backends[0]}" '{"draining": true}'
	written 0 engines draining 8 "$born"
	written 0 engines ready 6 "$born"
	until_true logged "entry_set_aside endpoint=i-0 " ||
		fail "the older report is not set aside"
	sleep 3
	! grep -h 'endpoint=i-0 .*state=ready .*source="its status"' \
		"$work"/g?.out || fail "it is ready again"
	start_anew 0 engines
}

# Guards against an engine that gets nothing, as a report of its start before is
# written late, or as its entry is back after an outage.
case_uses_an_engine_whose_start_before_left() {
	local i

	restart_nodes
	save_up 1
	start_anew 3 portal --plain
	for i in 0 1; do
		until_true reaches 3 "$i" || fail "node $i doesn't use it"
	done
	written 3 portal draining 9 $((born - 10000))
	sleep 0.5
	for i in 0 1; do
		until_true reaches 3 "$i" || fail "node $i takes the word for its own"
	done
	! grep -qE 'endpoint=i-3 .*state=(leaving|gone)' <(tail -n 20 "$work"/g?.out) ||
		fail "it is called leaving"
	unregister i-3
	sleep 0.3
	written 3 portal ready 49 "$born"
	sleep 2
	for i in 0 1; do
		until_true reaches 3 "$i" || fail "node $i doesn't use it again"
	done
}

# Guards against a report that stays at an engine until it ends, and new ones that
# go there, as the engine tells only in its answers that it leaves. Reports begin
# until one of them has such an answer; the other engines are cold meanwhile, as
# copies count as load, and the draw between equal engines may leave out one.
case_engine_leaves_by_its_answers() {
	local victim since before i asks=() ids=(told-0)

	save_up 1
	events 400
	report 0 "$work/told-0" told-0 &
	asks+=($!)
	streams "$work/told-0" 5
	victim=$(engine_of told-0)
	since=$(journaled "$victim")
	mode "${backends[$victim]}" '{"says_leaving": true}'
	for i in 0 1 2; do
		[ "$i" = "$victim" ] ||
			warmup_ms=1500 entry "$i" engines ready
	done
	for i in 1 2 3 4 5 6; do
		report $((i % 2)) "$work/told-$i" "told-$i" &
		asks+=($!)
		ids+=("told-$i")
		streams "$work/told-$i" 1
		[ "$(arrivals "$victim" "$since" 0 1 told-)" = 0 ] || break
	done
	[ "$(arrivals "$victim" "$since" 0 1 told-)" = 1 ] ||
		fail "engine $victim got no further report"
	sleep 2
	before=$(state "$victim" runs)
	for i in 7 8 9 10 11 12; do
		report $((i % 2)) "$work/told-$i" "told-$i" &
		asks+=($!)
		ids+=("told-$i")
	done
	wait "${asks[@]}" || fail "a stream was cut"
	for i in "${ids[@]}"; do
		whole "$work/$i" "$i" 400
		[ "$(engine_of "$i")" != "$victim" ] || fail "$i stayed"
	done
	[ "$(state "$victim" runs)" = "$before" ] || fail "it got new work"
	start_anew "$victim" engines
	events 60
}

# head_field FILE FIELD: prints the field of an answer's head.
head_field() {
	tr -d '\r' <"$1" | awk -v name="$2:" 'tolower($1) == name { print $2 }'
}

# refuses_while_all_rest NODE EARLIEST LATEST: the node refuses a request at once
# and tells what is left of a rest that ends between these times.
refuses_while_all_rest() {
	local out took told now

	out=$(ask "$1" /lookup/a -D "$work/rest.head" -o /dev/null \
		-w '%{time_total} %{http_code}')
	now=$EPOCHREALTIME
	out=${out% *}\ ${out: -3}
	took=${out% *}
	told=$(head_field "$work/rest.head" retry-after)
	refused 503 "$out"
	awk -v t="$took" 'BEGIN { exit !(t < 0.3) }' ||
		fail "node $1 refuses after $took s"
	awk -v told="${told:-none}" -v a="$2" -v b="$3" -v now="$now" 'BEGIN {
		exit !(told + 0 > a - now - 0.3 && told + 0 < b - now + 0.6) }' ||
		fail "node $1 tells ${told:-nothing} of a rest until $3, at $now"
}

# Guards against requests of a node to an endpoint that has turned one of its
# requests away and asked it for rest; other nodes go on. With nobody else left
# callers are refused at once and told what is left of the rest.
case_rests_an_endpoint_that_asks() {
	local since i earliest latest late

	restart_nodes
	save_up 2
	since=$(journaled 3)
	mode "${backends[3]}" '{"rest_s": "3"}'
	until_true reaches 3 0 || fail "it was not asked once"
	mode "${backends[3]}" '{"rest_s": ""}'
	press 4 "$work/rest"
	late=$(arrivals 3 "$since" 500 3000 r-0-)
	[ "$late" -le 2 ] || fail "node 0 sent $late requests in its rest"
	[ "$(arrivals 3 "$since" 0 3000 r-1-)" -ge 1 ] ||
		fail "node 1 sent nothing, though it was not asked for rest"
	[ "$(sort -u "$work/rest")" = 200 ] ||
		fail "answered $(sort "$work/rest" | uniq -c | xargs)"
	logged 'event=endpoint_resting endpoint=i-3 service=portal for_ms=3000' ||
		fail "the rest is not in the log"
	until_true reaches 3 0 || fail "node 0 sends nothing after the rest"

	for i in 3 4; do
		mode "${backends[$i]}" '{"rest_s": "3"}'
	done
	for i in 0 1; do
		since="$(journaled 3) $(journaled 4)"
		earliest=$(awk -v now="$EPOCHREALTIME" 'BEGIN { printf "%.6f", now + 3 }')
		both_rest() {
			ask "$i" /lookup/a >/dev/null
			[ "$(arrivals 3 "${since% *}" 0 1 "r-$i-")" = 1 ] &&
				[ "$(arrivals 4 "${since#* }" 0 1 "r-$i-")" = 1 ]
		}
		until_true both_rest || fail "node $i did not ask both"
		latest=$(awk -v now="$EPOCHREALTIME" 'BEGIN { printf "%.6f", now + 3 }')
		sleep 0.7
		refuses_while_all_rest "$i" "$earliest" "$latest"
		grep -q 'outcome=refused reason=resting' "$work/g$i.out" ||
			fail "node $i does not tell the reason"
	done
	for i in 3 4; do
		mode "${backends[$i]}" '{"rest_s": ""}'
	done
	sleep 3
	press 2 "$work/rest"
	[ "$(sort -u "$work/rest")" = 200 ] ||
		fail "after the rest: $(sort "$work/rest" | uniq -c | xargs)"

	mode "${backends[3]}" '{"rest_s": "30"}'
	until_true reaches 3 0 || fail "it was not asked before its end"
	start_anew 3 portal --plain
	sleep 1
	since=$(journaled 3)
	press 4 "$work/rest"
	[ "$(arrivals 3 "$since" 0 60000 r-0-)" -ge 1 ] ||
		fail "a rest outlasts the start of the endpoint that asked for it"
}

# shows NODE ID STATE WORDS: whether the node lists the endpoint in this state,
# with these words on it.
shows() {
	ctl "$1" endpoints portal | grep -qE "^$2 .* $3 +for .*$4"
}

# Guards against an operator who can't find out why an endpoint gets nothing: one
# that asked for rest, and one that leaves by its own word. A request that nobody
# takes then leads to them by its id, as docs/OPERATIONS.md says.
case_shows_why_an_endpoint_is_not_used() {
	local out

	restart_nodes
	save_up 2
	shows 0 i-3 ready ' requests$' || fail "at first: $(ctl 0 endpoints)"
	[ "$(ctl 0 endpoints | tail -n 1)" = "5 of 5 endpoints" ] ||
		fail "not all are listed: $(ctl 0 endpoints)"
	[ "$(ctl 0 endpoints nobody)" = "0 of 0 endpoints" ] ||
		fail "a service that nobody has: $(ctl 0 endpoints nobody)"
	mode "${backends[3]}" '{"rest_s": "30"}'
	until_true reaches 3 0 || fail "it was not asked before its rest"
	until_true shows 0 i-3 ready 'resting for [1-9][0-9]* ms' ||
		fail "the rest is not shown: $(ctl 0 endpoints portal)"
	mode "${backends[3]}" '{"rest_s": ""}'
	shows 1 i-3 ready ' requests$' ||
		fail "node 1 shows a rest of node 0: $(ctl 1 endpoints portal)"
	mode "${backends[4]}" '{"says_leaving": true}'
	until_true reaches 4 0 || fail "it was not asked before it left"
	until_true shows 0 i-4 leaving 'said that it leaves [0-9]+ ms ago' ||
		fail "the leaving one is not shown: $(ctl 0 endpoints portal)"
	out=$(curl -s -m 20 -o /dev/null -w '%{http_code}' -H "Host: $host" \
		-H "X-Siskinlink-Request-Id: nobody-0" \
		-H "Authorization: Bearer $key" "http://${fronts[0]}/lookup/a")
	[ "$out" = 503 ] || fail "with nobody left: $out"
	line nobody-0 request_end | grep -q 'reason=resting' ||
		fail "its end: $(line nobody-0 request_end)"
	logged 'event=endpoint_resting endpoint=i-3 service=portal ' ||
		fail "the rest is not in the log"
	logged 'event=endpoint endpoint=i-4 .*state=leaving .*source="its answer"' ||
		fail "the log does not tell that it leaves"
	for i in 3 4; do
		start_anew "$i" portal --plain
	done
	for i in 3 4; do
		until_true shows 0 "i-$i" ready ' requests$' ||
			fail "the next start of i-$i: $(ctl 0 endpoints portal)"
	done
}

# asks_for_rest TEXT: endpoint 3, the only one, turns requests of node 0 away with
# this text, and then takes them again; sets since and lines.
asks_for_rest() {
	until_true reaches 3 0 || fail "'$1': it is not used before"
	since=$(journaled 3)
	lines=$(rest_lines)
	mode "${backends[3]}" "$(jq -nc --arg text "$1" '{rest_s: $text}')"
	refused 503 "$(ask 0 /lookup/a)"
	sleep 0.7
	refused 503 "$(ask 0 /lookup/a)"
	mode "${backends[3]}" '{"rest_s": ""}'
}

# Prints the numbers of rests and of unreadable ones that node 0 has logged.
rest_lines() {
	echo "$(grep -c 'event=endpoint_resting endpoint=i-3 ' "$work/g0.out")" \
		"$(grep -c 'event=endpoint_rest_unreadable .*endpoint=i-3' \
			"$work/g0.out")"
}

# Guards against an endpoint that is put away by a slip in the time that it asks
# for, for a day or for ever, and against one that is put away unseen. A text that
# can't be read is told once.
case_reads_odd_rests() {
	local text since lines told=0

	entry 4 portal draining
	until_true believed 4 leaving || fail "endpoint 4 stays"
	start_anew 3 portal --plain
	for text in -4 "Fri, 31 Dec 2038 23:59:59 GMT" soon 0; do
		asks_for_rest "$text"
		press 3 "$work/odd"
		[ "$(arrivals 3 "$since" 500 2900 r-0-)" -ge 3 ] ||
			fail "'$text' is taken for a rest"
		[ "$(cut -d' ' -f1 <<<"$(rest_lines)")" = "${lines% *}" ] ||
			fail "'$text' is logged as a rest"
		told=$(($(cut -d' ' -f2 <<<"$(rest_lines)") - ${lines#* }))
		case $text in
		-4) [ "$told" = 1 ] || fail "'$text' is told $told times" ;;
		0) [ "$told" = 0 ] || fail "0 is told as unreadable" ;;
		*) [ "$told" -le 1 ] || fail "'$text' is told $told times" ;;
		esac
	done

	asks_for_rest 1.7
	press 3 "$work/odd"
	[ "$(arrivals 3 "$since" 500 1700 r-0-)" -le 2 ] ||
		fail "1.7: $(arrivals 3 "$since" 500 1700 r-0-) requests in the rest"
	[ "$(arrivals 3 "$since" 1700 4000 r-0-)" -ge 1 ] ||
		fail "1.7: nothing is sent after the rest"
	logged 'event=endpoint_resting endpoint=i-3 service=portal for_ms=1700' ||
		fail "1.7 is not in the log"

	asks_for_rest 1000000000000
	press 3 "$work/odd"
	[ "$(arrivals 3 "$since" 500 3000 r-0-)" -le 2 ] ||
		fail "10^12: $(arrivals 3 "$since" 500 3000 r-0-) requests in the rest"
	logged 'event=endpoint_resting endpoint=i-3 service=portal for_ms=60000' ||
		fail "10^12 is not bounded, or not in the log"
	start_anew 3 portal --plain
	until_true reaches 3 0 || fail "it does not come back from 10^12"
	entry 4 portal ready
	until_true believed 4 ready || fail "endpoint 4 is not back"
}

# Guards against an endpoint that is taken for leaving by another value of the
# field than 1.
case_stays_by_other_words() {
	local text since

	for text in 0 ""; do
		mode "${backends[3]}" "$(jq -nc --arg text "$text" \
			'{says_leaving: true, leaving_text: $text}')"
		since=$(journaled 3)
		press 4 "$work/stays"
		[ "$(arrivals 3 "$since" 2000 60000)" -ge 1 ] ||
			fail "'$text' is taken for leaving"
	done
	mode "${backends[3]}" '{"says_leaving": false, "leaving_text": "1"}'
}

# Guards against an endpoint's own error that is replaced by one of the node, as
# the only other endpoint takes no requests: the caller learns less.
case_delivers_an_error_that_nobody_may_retry() {
	local errors=0

	save_up 3
	mode "${backends[4]}" '{"server_limit": "0.2"}'
	limit_is() { # RATE
		ask 0 /lookup/a >/dev/null
		ask 1 /lookup/a >/dev/null
		grep -h 'event=endpoint_limit endpoint=i-4 ' "$work/g0.out" |
			tail -n 1 | grep -q "per_s=$1 "
	}
	until_true limit_is 0.200 || fail "the limit is not known"
	mode "${backends[3]}" '{"failing": true}'
	for _ in 1 2 3 4 5; do
		out=$(ask 0 /lookup/a)
		case $out in
		failed500) errors=$((errors + 1)) ;;
		i-4*200) ;;
		*) fail "answered $out" ;;
		esac
	done
	[ "$errors" -ge 3 ] || fail "$errors errors of 5"
	mode "${backends[3]}" '{"failing": false}'
	mode "${backends[4]}" '{"server_limit": ""}'
	until_true limit_is none || fail "the limit stays"
}

# line REQUEST EVENT: the last log line of a request with this event, any node.
line() {
	grep -h "event=$2 " "$work"/g*.out | grep "request=$1 " | tail -n 1
}

# Three requests fail. The log leads from the id of each to its cause, by the
# steps of docs/OPERATIONS.md: the reason of its end, its attempts, and the state
# of the endpoints.
case_explains_failures() {
	save_up 3
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"full": true}'
	done
	report 0 "$work/why" why-full
	line why-full request_end | grep -q 'outcome=refused reason=not_run' ||
		fail "no reason: $(line why-full request_end)"
	line why-full attempt_failed | grep -q 'result=not_run' ||
		fail "no attempt: $(line why-full attempt_failed)"
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"full": false, "no_copy": true}'
	done
	sleep 0.3
	report 0 "$work/why" why-cut &
	reader=$!
	streams "$work/why" 20
	victim=$(engine_of why-cut)
	kill -KILL "${backend_pids[$victim]}"
	wait "$reader" || true
	line why-cut request_end | grep -q 'outcome=broken reason=no_copy' ||
		fail "no reason: $(line why-cut request_end)"
	line why-cut request_placed | grep -q "endpoint=i-$victim " ||
		fail "no placement: $(line why-cut request_placed)"
	for i in 0 1 2; do
		[ "$i" = "$victim" ] ||
			mode "${backends[$i]}" '{"no_copy": false}'
	done
	start_backend "$victim" engines
	mode "$store" '{"down": true}'
	until_true logged event=store_lost || fail "the loss of the store is not logged"
	refused 503 "$(key=unknown ask 0 /lookup/a)"
	grep -q 'outcome=refused reason=stale' "$work/g0.out" ||
		fail "the refusal is not explained"
	mode "$store" '{"down": false}'
}

# The store is unreachable. The last configuration stays in force; a change made
# during the outage applies once the store is back.
case_serves_while_the_store_is_away() {
	mode "$store" '{"down": true}'
	out=$(ask 0 /lookup/a)
	[ "${out: -3}" = 200 ] || fail "refused while the store is away: $out"
	document "$key" other-key-0002
	mode "$store" '{"down": false}'
	other_works() {
		[ "$(key=other-key-0002 ask 1 /lookup/a | tail -c 3)" = 200 ]
	}
	until_true other_works || fail "the change is not in force"
}

# Guards against new requests to a leaving engine while its removal is in doubt.
# The engine's own load report resolves the doubt.
case_asks_an_engine_in_doubt_itself() {
	mode "$store" '{"down": true}'
	for i in 0 1; do
		until_true grep -q event=store_lost "$work/g$i.out" ||
			fail "node $i does not lose the store"
	done
	jq -n '{key: "servers/i-0"}' | curl -sf -X POST --data @- \
		"http://$store/fake/delete" >/dev/null
	mode "${backends[0]}" '{"leave_ms": 8000}'
	mode "$store" '{"down": false}'
	gives_up() {
		grep -h "endpoint=i-0 .*state=gone" "$work"/g?.out >"$work/doubt"
	}
	until_true gives_up || fail "it is still used"
	grep -q 'source="its report"' "$work/doubt" ||
		fail "nobody asked it: $(head -n 1 "$work/doubt")"
	kill -KILL "${backend_pids[0]}"
	start_backend 0 engines
}

# The store has lost its history while a key was removed. Both nodes read
# everything again, and an older document is not applied.
case_reads_anew_after_lost_history() {
	mode "$store" '{"forget": true}'
	document "$key"
	other_fails() {
		[ "$(key=other-key-0002 ask 0 /lookup/a | tail -c 3)" = 401 ]
	}
	until_true other_fails || fail "the old key still works"
	put op/config '{"version": 1, "routes": [], "services": [],
		"limits": {"header_bytes": 1, "max_body_bytes": 1}}'
	sleep 0.3
	out=$(ask 0 /lookup/a)
	[ "${out: -3}" = 200 ] || fail "went back to an older document: $out"
}

# Guards against a node that goes back to what a copy of the store holds, or that
# drops what is written again under revisions that were given out before.
case_comes_back_from_a_copy() {
	local out

	mode "$store" '{"era": 4}'
	document "$key" other-key-0002
	other_gets() { # STATUS
		[ "$(key=other-key-0002 ask 0 /lookup/a | tail -c 3)" = "$1" ]
	}
	until_true other_gets 200 || fail "the second key does not work"
	mode "$store" '{"copy": true}'
	document "$key"
	until_true other_gets 401 || fail "the second key still works"
	mode "$store" '{"restore": true}'
	for i in 0 1; do
		until_true grep -q "event=store_era_risen .*from=4 to=5" \
			"$work/g$i.out" || fail "node $i does not see the era"
	done
	for _ in 1 2 3 4; do
		out=$(key=other-key-0002 ask 0 /lookup/a | tail -c 3)
		# 503: the node has not heard from the store since.
		[ "$out" = 401 ] || [ "$out" = 503 ] ||
			fail "the copy's second key gets $out"
		out=$(ask 0 /lookup/a)
		[ "${out: -3}" = 200 ] || fail "answered $out"
	done
	until_true other_gets 401 || fail "the copy's second key works"
	entry 3 portal draining
	until_true grep -q "endpoint=i-3 .*state=leaving" "$work/g0.out" ||
		fail "dropped what was written after the copy"
	entry 3 portal ready
	is_back() {
		grep "endpoint=i-3 " "$work/g0.out" | tail -n 1 |
			grep -q "state=ready"
	}
	until_true is_back || fail "the endpoint stays away"
}

# A failure domain is evacuated while a report runs in it. Each node refuses new
# requests to its endpoints at once and truthfully; the report is completed where
# it runs. Requests are served again once the domain is taken back.
case_sends_nothing_to_an_evacuated_domain() {
	local out

	events 300
	report 0 "$work/cordon" cordon-1 &
	reader=$!
	streams "$work/cordon" 5
	put op/evacuate/other '{}'
	put op/evacuate/z '{}'
	for i in 0 1; do
		until_true grep -q "event=domain_cordoned failure_domain=z" \
			"$work/g$i.out" || fail "node $i does not see it"
	done
	before=$(($(state 0 runs) + $(state 1 runs) + $(state 2 runs) +
		$(state 3 runs) + $(state 4 runs)))
	for i in 0 1; do
		out=$(ask "$i" /lookup/a)
		[ "${out: -3}" = 503 ] || fail "node $i answered $out"
		out=$(ask "$i" /report/a -X POST)
		[ "${out: -3}" = 503 ] || fail "node $i answered $out"
	done
	logged "reason=cordoned" || fail "the reason is not in the log"
	wait "$reader" || fail "the stream was cut"
	whole "$work/cordon" cordon-1 300
	events 60
	[ $(($(state 0 runs) + $(state 1 runs) + $(state 2 runs) +
		$(state 3 runs) + $(state 4 runs))) = "$before" ] ||
		fail "an endpoint of the domain ran a request"
	for domain in other z; do
		jq -n --arg key "op/evacuate/$domain" '{key: $key}' |
			curl -sf -X POST --data @- \
				"http://$store/fake/delete" >/dev/null
	done
	serves() {
		[ "$(ask "$1" /lookup/a | tail -c 3)" = 200 ]
	}
	for i in 0 1; do
		until_true serves "$i" || fail "node $i does not serve again"
	done
}

# Invalid entries are logged and give no endpoint; the other endpoints still
# serve.
case_ignores_entries_it_cannot_use() {
	put servers/i-8 'not json'
	put servers/i-9 '{"service": "portal", "address": 7}'
	for id in i-8 i-9; do
		until_true logged "event=entry_rejected endpoint=$id" ||
			fail "$id is not logged"
	done
	for _ in 1 2 3 4; do
		out=$(ask 0 /lookup/a)
		[ "${out: -3}" = 200 ] || fail "answered $out"
	done
}

# put_bytes KEY FILE: writes any bytes, of which the last line break is left out.
put_bytes() {
	printf %s "$(cat "$2")" | base64 -w 0 | jq -Rs --arg key "$1" \
		'{key: $key, base64: .}' |
		curl -sf -X POST --data @- "http://$store/fake/put" >/dev/null
}

# odd_entry FIELD LITERAL: an entry of a plain endpoint with one odd field. Its
# members that come later count.
odd_entry() {
	printf '{"service":"portal","address":"127.0.0.1:9","zone":"z",'
	printf '"version":"v1","slots":4,"state":"ready","warmup_left_ms":0,'
	printf '"sequence":1,"born":1,"%s":%s}\n' "$1" "$2"
}

# repeat COUNT TEXT
repeat() {
	awk -v n="$1" -v t="$2" 'BEGIN { while (n-- > 0) printf "%s", t }'
}

# Prints odd entries, one a line.
odd_entries() {
	local field value

	for value in 1e400 -1e400 "$(repeat 5000 9)" "-$(repeat 5000 9)" NaN \
		Infinity -1 1.5 9e15 9007199254740992 9223372036854775808 \
		-18446744073709551612 04 '"4"' null '[]'; do
		odd_entry slots "$value"
	done
	for field in warmup_left_ms sequence born; do
		for value in 1e400 -1 "-$(repeat 5000 9)" 9e15 '"4"'; do
			odd_entry "$field" "$value"
		done
	done
	for value in 65536 99999 0 -1 '' 80x 4294967376 +80 ' 80'; do
		odd_entry address "\"127.0.0.1:$value\""
	done
	for value in 0.0.0.0:80 :80 localhost:80 '[::1]:80' 256.1.1.1:80 \
		224.0.0.1:80 ''; do
		odd_entry address "\"$value\""
	done
	for value in 'a\u0001b' 'a\r\nX-Odd: 1' 'a\u0000b' 'a\ud800b' '' \
		"$(repeat 64 a)" "$(repeat 100000 a)" $'a\xff'; do
		odd_entry zone "\"$value\""
	done
	printf '%s\n' 'not json' '[]' '{' $'\xff\xfe'
	odd_entry more "$(repeat 60000 '{"a":')1$(repeat 60000 '}')"
	repeat 200000 '['
	echo
	repeat 1000000 ' '
	echo
}

journaled_by_others() { # ENGINE
	local i

	for i in 3 4; do
		[ "$i" = "$1" ] || journaled "$i"
	done
}

# serves_only ENGINE WHEN: whether both nodes send requests there alone.
serves_only() {
	local i other before

	for i in 0 1; do
		until_true reaches "$1" "$i" ||
			fail "$2: node $i doesn't use engine $1"
	done
	before=$(journaled_by_others "$1")
	for i in 0 1 0 1 0 1 0 1 0 1 0 1; do
		other=$(ask "$i" /lookup/a)
		[ "${other: -3}" = 200 ] || fail "$2: answered $other"
	done
	[ "$before" = "$(journaled_by_others "$1")" ] ||
		fail "$2: an engine that is removed is used"
}

# Guards against a node that ends by an odd entry of another writer, or no longer
# follows the list: an endpoint that is added afterwards is used and those that
# are removed are not, by the watch as by a listing.
case_follows_the_list_beside_odd_entries() {
	local number=0 i id before=("${node_pids[@]}")

	while IFS= read -r value; do
		number=$((number + 1))
		printf '%s' "$value" >"$work/odd"
		put_bytes "servers/odd-$number" "$work/odd"
	done < <(odd_entries)
	for id in $'a\r\nX-Odd: 1' $'\001' "$(repeat 64 a)" ''; do
		put "servers/$id" "$(odd_entry more 1)"
	done
	for i in $(seq "$number"); do
		until_true logged "entry_rejected endpoint=odd-$i key" ||
			fail "odd-$i is not rejected"
	done
	start_backend 5 portal --plain
	unregister i-3
	unregister i-4
	serves_only 5 "by the watch"
	for i in 0 1; do
		kill -0 "${before[$i]}" 2>/dev/null || fail "node $i has ended"
	done
	restart_nodes
	serves_only 5 "by a listing"
	for i in $(seq "$number"); do
		unregister "odd-$i"
	done
	for id in $'a\r\nX-Odd: 1' $'\001' "$(repeat 64 a)" ''; do
		unregister "$id"
	done
	entry 3 portal ready
	entry 4 portal ready
	until_true reaches 3 0 || fail "an engine that is back is not used"
	unregister i-5
	kill -KILL "${backend_pids[5]}"
	wait "${backend_pids[5]}" 2>/dev/null || true
	until_true answers 1 /lookup/c 200 || fail "nothing is served"
}

# Guards against nodes that are ended by one flat entry, which takes many times its
# size to read: machines have 110 MB for a node.
case_reads_a_flat_entry_within_its_memory() {
	local i size

	odd_entry more "[$(repeat 340000 '{},'){}]" >"$work/odd"
	put_bytes servers/odd-flat "$work/odd"
	until_true logged "entry_rejected endpoint=odd-flat key" ||
		logged "endpoint endpoint=odd-flat" || true
	sleep 2
	for i in 0 1; do
		size=$(sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' \
			"/proc/${node_pids[$i]}/status")
		echo "node $i: peak $size kB"
		[ "${size:-999999}" -lt $((64 * 1024)) ] ||
			fail "node $i has used $size kB"
	done
	unregister odd-flat
}

# Sends a report with the large body; leaves head, events and a status of curl.
large_report() { # NUMBER
	curl -s -m 20 -N -H "Host: $host" -H "Expect:" \
		-H "X-Siskinlink-Request-Id: large-$1" \
		-H "X-Siskinlink-Token-Count: 1000,400" \
		-H "Authorization: Bearer $key" --data-binary "@$work/body" \
		-D "$work/large$1.head" -o "$work/large$1.events" \
		"http://${fronts[0]}/report/a" || echo $? >"$work/large$1.broken"
}

# Guards against a node whose memory is used up by the bodies of its callers: 120
# of them with 4 MB each, at a node of 110 MB. It uses at most 90 MB, answers
# each, and serves small requests beside them in time.
case_bounds_the_memory_of_bodies() {
	local i answers=0 size peak=0 readers=() memory_mb=110 refused

	kill -TERM "${node_pids[0]}"
	wait "${node_pids[0]}" || true
	write_node 0
	start_gateway 0
	max_body_bytes=4194304 document "$key"
	head -c 4194304 /dev/zero | tr '\0' x >"$work/body"
	events 60
	accepts_large() {
		[ "$(ask 0 /lookup/a -X POST --data-binary "@$work/large" \
			-o /dev/null)" = 200 ]
	}
	until_true accepts_large || fail "the limit is not applied"
	for i in $(seq 120); do
		large_report "$i" &
		readers+=($!)
	done
	for i in $(seq 40); do
		size=$(sed -n 's/^RssAnon:[[:space:]]*\([0-9]*\) kB/\1/p' \
			"/proc/${node_pids[0]}/status")
		[ "${size:-999999}" -le "$peak" ] || peak=${size:-999999}
		[ "$(ask 0 /lookup/a -m 1 -o /dev/null)" = 200 ] ||
			fail "a small request is not served in time"
		sleep 0.1
	done
	for i in "${readers[@]}"; do
		wait "$i"
	done
	events 12
	refused=$(cat "$work"/large*.head | grep -c '^HTTP/1.1 503')
	for i in $(seq 120); do
		grep -q '^HTTP/1.1 200' "$work/large$i.head" || continue
		answers=$((answers + 1))
		whole "$work/large$i.events" "large-$i" 60
	done
	echo "peak $peak kB, $answers answered, $refused refused"
	[ "$peak" -le $((90 * 1024)) ] || fail "the node has used $peak kB"
	[ $((answers + refused)) = 120 ] || fail "callers without an answer"
	[ "$answers" -ge 8 ] || fail "$answers are answered"
	[ "$(cat "$work"/large*.head | grep -ci '^retry-after: ')" = "$refused" ] ||
		fail "not all are told when to come back"
	document "$key"
}

# Guards against a node that keeps an endpoint whose entry is removed, because it
# takes odd entries, in the same answer of the store, for the loss of many.
case_drops_an_endpoint_beside_odd_entries() {
	save_up 2 # and the doubt after the start of the nodes
	local i

	jq -n '{writes: [range(1; 9) | {key: "servers/odd-\(.)",
		value: "bm90IGpzb24="}], remove: ["servers/i-3"]}' |
		curl -sf -X POST --data @- "http://$store/v1/kv-txn" >/dev/null
	until_true logged "entry_rejected endpoint=odd-8 key" ||
		fail "odd-8 is not rejected"
	serves_only 4 "beside odd entries"
	entry 3 portal ready
	until_true reaches 3 0 || fail "an engine that is back is not used"
	for i in $(seq 8); do
		unregister "odd-$i"
	done
}

# The reader of a node's log stops reading. The node keeps serving: lines beyond
# its buffer are dropped and counted.
case_never_waits_for_the_log() {
	mkfifo "$work/pipe"
	sed -E 's/^(address|ready_address|directory_address) = .*/\1 = "127.0.0.1:PORT\1"/' \
		"$work/g1.toml" >"$work/piped.toml"
	for each in address ready_address directory_address; do
		sed -i "s/PORT$each/$(free_port)/" "$work/piped.toml"
	done
	sed -i "s/^http_address.*/http_address = \"127.0.0.1:$(free_port)\"/;
		s/^peer_address.*/peer_address = \"127.0.0.1:$(free_port)\"/;
		s/^name.*/name = \"entry-9\"/" "$work/piped.toml"
	sleep 60 <"$work/pipe" &
	pids+=($!)
	"$bin/siskinlinkd" --config "$work/piped.toml" >"$work/pipe" \
		2>"$work/piped.log" &
	pids+=($!)
	piped=$!
	fronts[9]=$(sed -n 's/^address = "\(.*\)"/\1/p' "$work/piped.toml")
	readies[9]=$(sed -n 's/^ready_address = "\(.*\)"/\1/p' "$work/piped.toml")
	until_true is_ready 9 || fail "it does not become ready"
	for _ in $(seq 20); do
		seq 60 | xargs -P 8 -I{} curl -s -o /dev/null \
			-H "Host: $host" -H "X-Siskinlink-Request-Id: l{}" \
			"http://${fronts[9]}/nowhere/$(printf '%0400d' 0)"
	done
	out=$(ask 9 /lookup/a)
	[ "${out: -3}" = 200 ] || fail "stopped serving: $out"
	kill -TERM "$piped"
}

# A node gets SIGTERM while it streams a report of a second and a half. It leaves
# the directory at once, still accepts requests of callers with older addresses,
# completes the report, and exits with status 0.
case_drains() {
	report 1 "$work/drain" drain-1 &
	reader=$!
	streams "$work/drain" 5
	kill -TERM "${node_pids[1]}"
	gone() {
		! curl -s "http://${directories[0]}/v1/resolve?name=$host" |
			grep -q "${fronts[1]}"
	}
	until_true gone || fail "callers are still sent there"
	! is_ready 1 || fail "it says that it is ready"
	out=$(ask 1 /lookup/a)
	[ "${out: -3}" = 200 ] || fail "a late caller got $out"
	wait "$reader" || fail "the stream was cut"
	whole "$work/drain" drain-1 60
	wait "${node_pids[1]}" || fail "ended with status $?"
	start_gateway 1
}

# keep_asking NODE FILE COUNT: sends requests over one connection for as long as
# the node keeps it, else over new ones; writes their statuses, 000 for none.
keep_asking() {
	local urls=()

	for _ in $(seq "$3"); do
		urls+=(-o /dev/null "http://${fronts[$1]}/lookup/export/a")
	done
	curl -s -m 20 -X POST -w '%{http_code}\n' -H "Host: $host" \
		-H "X-Siskinlink-Request-Id: r-$RANDOM$RANDOM" \
		-H "Authorization: Bearer $key" "${urls[@]}" >"$2" || true
}

# Guards against a node that ends at once when its signal comes again during a
# drain: callers in the middle of a request get no answer.
case_drains_though_its_signal_comes_again() {
	local asking=()

	for i in 3 4; do
		mode "${backends[$i]}" '{"answer_delay_ms": 700}'
	done
	for i in 1 2 3 4 5 6; do
		keep_asking 1 "$work/again.$i" 3 &
		asking+=($!)
	done
	sleep 0.3
	kill -TERM "${node_pids[1]}"
	sleep 0.3
	kill -TERM "${node_pids[1]}"
	kill -INT "${node_pids[1]}"
	wait "${asking[@]}"
	[ "$(sort -u "$work"/again.?)" = 200 ] ||
		fail "answered $(sort "$work"/again.? | uniq -c | xargs)"
	wait "${node_pids[1]}" || fail "ended with status $?"
	for i in 3 4; do
		mode "${backends[$i]}" '{"answer_delay_ms": 0}'
	done
	start_gateway 1
}

# Guards against a drain that is shortened by settings which are read while it
# lasts: what was to end within the time that it began with is cut off.
case_drains_as_long_as_it_began() {
	events 100
	report 1 "$work/shortened" shortened-1 &
	reader=$!
	streams "$work/shortened" 5
	kill -TERM "${node_pids[1]}"
	drain_s=1 write_node 1
	kill -HUP "${node_pids[1]}"
	wait "$reader" || fail "the stream was cut"
	whole "$work/shortened" shortened-1 100
	wait "${node_pids[1]}" || fail "ended with status $?"
	events 60
	write_node 1
	start_gateway 1
}

# Guards against streams that are taken in a drain of 4 s and cut at its end:
# they take 2.4 s, and callers go on sending on new connections.
case_refuses_what_outlasts_a_drain() {
	local asking=() served=0 turned_away=0

	events 120
	report 1 "$work/outlast" outlast-0
	whole "$work/outlast" outlast-0 120
	kill -TERM "${node_pids[1]}"
	for i in $(seq 24); do
		ask 1 /report/a -X POST -o "$work/outlast.$i" \
			-H "X-Siskinlink-Token-Count: 1000,400" \
			>"$work/outlast.$i.status" &
		asking+=($!)
		sleep 0.1
	done
	wait "${asking[@]}" || fail "a stream was cut"
	for i in $(seq 24); do
		case $(cat "$work/outlast.$i.status") in
		200) served=$((served + 1)) ;;
		503) turned_away=$((turned_away + 1)) ;;
		*) fail "answered $(cat "$work/outlast.$i.status")" ;;
		esac
	done
	[ "$served" -gt 0 ] && [ "$turned_away" -gt 0 ] ||
		fail "$served served, $turned_away turned away"
	wait "${node_pids[1]}" || fail "ended with status $?"
	events 60
	start_gateway 1
}

# Guards against requests that are left without an answer when the time of a
# drain is over: their endpoint answers too late, and the caller is told so.
case_answers_what_it_drops_at_the_end_of_a_drain() {
	local asking=()

	for i in 3 4; do
		mode "${backends[$i]}" '{"answer_delay_ms": 3000}'
	done
	kill -TERM "${node_pids[1]}"
	sleep 2.5
	for i in 1 2 3 4; do
		ask 1 /lookup/export/a -X POST -o /dev/null >"$work/drop.$i" &
		asking+=($!)
	done
	wait "${asking[@]}" || fail "a request got no answer"
	for i in 1 2 3 4; do
		refused 504 "$(cat "$work/drop.$i")"
	done
	wait "${node_pids[1]}" || fail "ended with status $?"
	for i in 3 4; do
		mode "${backends[$i]}" '{"answer_delay_ms": 0}'
	done
	start_gateway 1
}

# send_late ADDRESS PATH FILE: sends a request whose body ends 0.6 s after its
# head, and writes the answer.
send_late() {
	exec 9<>"/dev/tcp/${1%:*}/${1#*:}"
	printf 'POST %s HTTP/1.1\r\nHost: %s\r\nX-Siskinlink-Request-Id: late-%s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: 8\r\n\r\n"ab' \
		"$2" "$host" "$RANDOM" "$key" >&9
	sleep 0.6
	printf 'cdef"' >&9 2>/dev/null
	timeout 3 head -n 1 <&9 >"$3" 2>/dev/null
	exec 9<&- 9>&-
}

# Guards against a process that ends with time left while a request arrives:
# its body ends 0.1 s after the moment at which idle connections are closed.
case_answers_what_arrives_when_a_drain_closes() {
	(send_late "${fronts[1]}" /lookup/export/a "$work/arriving")
	grep -q 200 "$work/arriving" ||
		fail "answered without a drain: $(cat "$work/arriving")"
	rm "$work/arriving"
	kill -TERM "${node_pids[1]}"
	sleep 2.5
	(send_late "${fronts[1]}" /lookup/export/a "$work/arriving") || true
	[ -s "$work/arriving" ] || fail "the request got no answer"
	wait "${node_pids[1]}" || fail "ended with status $?"
	start_gateway 1
}

# Guards against a process that ends while a request arrives at the node's own
# interface.
case_answers_at_its_own_interface_when_a_drain_ends() {
	(send_late "${https[1]}" /v1/plans "$work/own")
	[ -s "$work/own" ] || fail "no answer without a drain"
	rm "$work/own"
	kill -TERM "${node_pids[1]}"
	sleep 2.6
	(send_late "${https[1]}" /v1/plans "$work/own") || true
	[ -s "$work/own" ] || fail "the request got no answer"
	wait "${node_pids[1]}" || fail "ended with status $?"
	start_gateway 1
}

# end_beside_a_request: stops the second node while a request to its own
# interface is not whole, which it waits for; sets took_us to the time until its
# process has ended.
end_beside_a_request() {
	local begun_us

	exec 9<>"/dev/tcp/${https[1]%:*}/${https[1]#*:}"
	printf 'POST /v1/plans HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n' >&9
	begun_us=${EPOCHREALTIME/./}
	kill -TERM "${node_pids[1]}"
	wait "${node_pids[1]}" || fail "ended with status $?"
	took_us=$((${EPOCHREALTIME/./} - begun_us))
	exec 9<&- 9>&-
	[ "$took_us" -gt 3500000 ] || fail "didn't wait: $took_us us"
}

# Guards against a process that is killed while it waits for a request that
# never arrives whole at its own interface. The check for leaks, which sanitizers
# make as a process ends, is no time of the node: it is made at an end that is
# not timed, and left out of one that is.
case_ends_in_time_beside_a_request_that_never_arrives() {
	local took_us

	if grep -q __asan_init "$bin/siskinlinkd"; then
		end_beside_a_request
		ASAN_OPTIONS=detect_leaks=0 start_gateway 1
	fi
	end_beside_a_request
	[ "$took_us" -lt 4000000 ] || fail "ended after $took_us us"
	start_gateway 1
}

# Guards against a kept connection that is closed with a request unread in it:
# the request came in time, while the node stood still for a moment.
case_reads_what_came_while_it_stood_still() {
	local line

	idle_ms=1000 document "$key"
	sleep 1
	exec 9<>"/dev/tcp/${fronts[1]%:*}/${fronts[1]#*:}"
	still_request() {
		printf 'GET /lookup/a HTTP/1.1\r\nHost: %s\r\nX-Siskinlink-Request-Id: still-%s\r\nAuthorization: Bearer %s\r\n\r\n' \
			"$host" "$1" "$key" >&9
	}
	still_request 1
	read -r -t 2 line <&9
	[[ "$line" == *200* ]] || fail "the first answer is $line"
	sleep 0.4
	kill -STOP "${node_pids[1]}"
	sleep 0.3
	timeout 0.1 cat <&9 >/dev/null || true
	still_request 2
	sleep 0.5
	kill -CONT "${node_pids[1]}"
	line=
	read -r -t 2 line <&9 || true
	[[ "$line" == *200* ]] || fail "no answer: ${line:-nothing}"
	exec 9<&- 9>&-
	document "$key"
	sleep 1
}

# All nodes are killed at once and restarted: with no state on disk they serve
# within two seconds of their start.
case_starts_cold() {
	kill -KILL "${node_pids[@]}"
	wait "${node_pids[@]}" || true
	start_gateway 0
	start_gateway 1
	out=$(ask 0 /lookup/a)
	[ "${out: -3}" = 200 ] || fail "answered $out"
}

# Both nodes start with outdated seeds, at which no node answers. They find each
# other by their entries in the store, and each gives callers the addresses of
# both.
case_finds_nodes_by_the_store() {
	kill -KILL "${node_pids[@]}"
	wait "${node_pids[@]}" || true
	seeds="\"127.0.0.1:$(free_port)\""
	for i in 0 1; do
		write_node "$i"
		start_gateway "$i"
	done
	seeds=
	knows() { # NODE OTHER
		curl -s "http://${directories[$1]}/v1/resolve?name=$host" |
			grep -q "${fronts[$2]}"
	}
	until_true knows 0 1 || fail "node 0 does not know node 1"
	until_true knows 1 0 || fail "node 1 does not know node 0"
}

# poison NODE FILE ID: requests a report with a fixed text; prints the status.
poison() {
	curl -s -m 20 -N -X POST -o "$2" -w '%{http_code}' -H "Host: $host" \
		-H "X-Siskinlink-Request-Id: $3" \
		-H "X-Siskinlink-Token-Count: 1000,400" \
		-H "Authorization: Bearer $key" --data "the same text" \
		"http://${fronts[$1]}/report/a"
}

runs() {
	for i in 0 1 2; do
		state "$i" runs
	done
}

# A report crashes its engine and the one that continues it. Its caller sends it
# again to another node, which has received notice of both crashes and refuses
# it, so that it crashes no further engine.
case_holds_what_crashes_engines() {
	local first second before

	save_up 2
	poison 0 "$work/poison" poison-1 >"$work/poison.status" &
	reader=$!
	streams "$work/poison" 20
	first=$(engine_of poison-1)
	kill -KILL "${backend_pids[$first]}"
	moved() {
		second=$(engine_of poison-1)
		[ -n "$second" ] && [ "$second" != "$first" ]
	}
	until_true moved || fail "no engine went on with it"
	kill -KILL "${backend_pids[$second]}"
	wait "$reader" || true
	start_backend "$first" engines
	start_backend "$second" engines
	before=$(runs)
	out=$(poison 1 "$work/again" poison-2)
	[ "$out" = 503 ] || fail "sent again it was answered $out"
	line poison-2 request_end | grep -q 'reason=quarantined' ||
		fail "no reason: $(line poison-2 request_end)"
	[ "$(runs)" = "$before" ] || fail "another engine ran it"
	out=$(report 1 "$work/other" "other-$RANDOM" && echo whole)
	[ "$out" = whole ] || fail "another report was held as well"
}

# part_report NODE ID SECOND_PART: sends a report, no two alike, whose prompt
# begins with a part that others have too; prints the status.
part_report() {
	curl -s -m 20 -N -X POST -o /dev/null -w '%{http_code}' \
		-H "Host: $host" -H "X-Siskinlink-Request-Id: $2" \
		-H "X-Siskinlink-Token-Count: 1000,400" \
		-H "X-Siskinlink-Prompt-Prefix: 5c1e07a2:800,$3:60,$RANDOM:20" \
		-H "Authorization: Bearer $key" --data "text of $2" \
		"http://${fronts[$1]}/report/$2" || true
}

restart_engines() {
	for i in 0 1 2; do
		if kill -0 "${backend_pids[$i]}" 2>/dev/null; then
			continue
		fi
		engine_ends=$((engine_ends + 1))
		start_backend "$i" engines
	done
}

# Guards against reports, no two alike, that end engine after engine by one part
# of their prompts, and against an operator who can't see or lift what is held.
case_holds_a_part_that_ends_engines() {
	local i held

	save_up 2
	engine_ends=0
	for i in $(seq 12); do
		part_report $((i % 2)) "part-$i" badbad01 >/dev/null
		sleep 0.6
		restart_engines
	done
	[ "$engine_ends" -le 8 ] || fail "it ended $engine_ends engines"
	[ "$(part_report 1 part-13 BADBAD01)" = 503 ] || fail "it is not held"
	line part-13 request_end | grep -q 'reason=part_quarantined' ||
		fail "no reason: $(line part-13 request_end)"
	until_true sound 0 || fail "a report with the same first part is held"
	held=$(ctl 0 held | grep ' part ' | grep badbad01)
	[ -n "$held" ] || fail "held: $(ctl 0 held)"
	ctl 0 lift "$(cut -d' ' -f1 <<<"$held")" >/dev/null || fail "can't lift"
	lifted() {
		[ "$(part_report 1 "part-$RANDOM" badbad01)" != 503 ]
	}
	until_true lifted || fail "it is still refused"
	sleep 0.3
	restart_engines
	until_true sound 1 || fail "nothing is served"
}

sound() { # NODE
	[ "$(part_report "$1" "sound-$RANDOM" 501)" = 200 ]
}

# lookup_poison NODE PATH: sends a fixed text that ends each endpoint that runs
# it; prints the status.
lookup_poison() {
	curl -s -m 20 -X POST -o /dev/null -w '%{http_code}' -H "Host: $host" \
		-H "X-Siskinlink-Request-Id: p-$RANDOM$RANDOM" \
		-H "Authorization: Bearer $key" --data "[[poison]] text" \
		"http://${fronts[$1]}$2"
}

# Guards against an idempotent request of a plain service that ends one endpoint
# after the other: a second after two it is refused at every node, and others are
# served.
case_holds_what_ends_plain_endpoints() {
	local before out

	save_up 2
	out=$(lookup_poison 0 /lookup/p)
	[ "$out" = 502 ] || fail "the first was answered $out"
	start_backend 3 portal --plain
	start_backend 4 portal --plain
	until_true answers 1 /lookup/a 200 || fail "nothing is served"
	sleep 1
	before=$(($(state 3 runs) + $(state 4 runs)))
	out=$(lookup_poison 1 /lookup/p)
	[ "$out" = 503 ] || fail "sent again it was answered $out"
	for i in 3 4; do
		kill -0 "${backend_pids[$i]}" 2>/dev/null && continue
		fail "it ended endpoint i-$i again"
		start_backend "$i" portal --plain
	done
	[ "$failures" -gt 0 ] ||
		[ $(($(state 3 runs) + $(state 4 runs))) = "$before" ] ||
		fail "another endpoint ran it"
	answers 1 /lookup/a 200 || fail "another request was held as well"
	lifts_quarantine /lookup/p
}

ended=0

# Starts endpoints 3 and 4 again that have ended; each call is a check of the
# supervisor. With new ids the entries of earlier starts stay.
supervise() { # same|new
	local i id

	for i in 3 4; do
		kill -0 "${backend_pids[$i]}" 2>/dev/null && continue
		ended=$((ended + 1))
		id=i-$i
		[ "$1" = same ] || id=i-$i-$ended
		sleep 0.1
		start "backend$i" "$bin/fake_backend" --plain --id "$id" \
			--address "${backends[$i]}"
		backend_pids[$i]=$started
		[ "$1" = same ] || put "servers/$id" "$(jq -nc \
			--arg a "${backends[$i]}" '{service: "portal",
			address: $a, zone: "z", version: "v1", slots: 24,
			state: "ready", warmup_left_ms: 0, sequence: 1}')"
	done
}

# A request that ends each plain endpoint comes five times a second, for as long
# as ten ends take, while others are served.
ends_under_restarts() { # same|new
	local i

	save_up 2
	ended=0
	for i in $(seq 40); do
		lookup_poison $((i % 2)) /lookup/export/p-"$1" >/dev/null
		ask $((i % 2)) "/lookup/a$i" >/dev/null
		ask $(((i + 1) % 2)) "/lookup/b$i" >/dev/null
		supervise "$1"
		sleep 0.1
	done
	[ "$ended" -le 6 ] || fail "it ended $ended endpoints"
	for i in 3 4; do
		start_backend "$i" portal --plain
	done
	for i in $(seq "$ended"); do
		for id in i-3-"$i" i-4-"$i"; do
			unregister "$id"
		done
	done
	until_true answers 1 /lookup/c 200 || fail "nothing is served"
}

unregister() { # ID
	curl -sf -X POST --data "$(jq -nc --arg key "servers/$1" '{key: $key}')" \
		"http://$store/fake/delete" >/dev/null || true
}

# Guards against a request that ends each next start of an endpoint, because its
# answer releases what the start before has lost.
case_holds_what_ends_endpoints_with_new_ids() {
	ends_under_restarts new
}

# Guards against a request that ends the same endpoint again and again.
case_holds_what_ends_endpoints_with_old_ids() {
	ends_under_restarts same
}

# An operator sees at one node what is held, lifts it there, and the other node
# lets it run again.
lifts_quarantine() { # PATH
	local held

	[ "$failures" = 0 ] || return 0
	held=$(ctl 0 held)
	case $held in
	*"ended 2 endpoints"*) ;;
	*) fail "held: $held" ;;
	esac
	ctl 0 lift 0123456789abcdef 2>/dev/null &&
		fail "lifted what is not held"
	for held in $(cut -d' ' -f1 <<<"$held"); do
		ctl 0 lift "$held" >/dev/null || fail "$held can't be lifted"
	done
	ran() {
		[ "$(lookup_poison 1 "$1")" = 502 ]
	}
	until_true ran "$1" || fail "it is still refused"
	for i in 3 4; do
		start_backend "$i" portal --plain
	done
	until_true answers 1 /lookup/a 200 || fail "nothing is served"
}

ctl() { # NODE COMMAND...
	local node=$1

	shift
	SISKINLINK_OPERATOR_KEY=$operator_key "$bin/siskinlinkctl" \
		--address "${https[$node]}" --operator tests "$@"
}

# The engine crashes a few ms after it received the report, as on a request that
# crashes every engine. A backup engine was assigned, but nothing can have been
# copied yet: it would start the report again, so that it runs twice. The caller
# gets 502 at once, and no other engine gets the request.
case_runs_once_what_crashes_at_once() {
	runs_once_what_crashes_after 0 at-once-1
}

# The same, but the engine starts the report only after 1.5 s, behind other
# prompts. It was reachable and produced no event, so there is nothing to
# continue from, however long the report has waited.
case_runs_once_what_crashes_behind_a_queue() {
	runs_once_what_crashes_after 1500 behind-1
}

runs_once_what_crashes_after() { # MS ID
	local out asked

	save_up 2
	for i in 0 1 2; do
		mode "${backends[$i]}" \
			"{\"crashing\": true, \"crash_after_ms\": $1}"
	done
	asked=$(asked_engines)
	out=$(curl -s -m 20 -N -X POST -o "$work/$2" -w '%{http_code}' \
		-H "Host: $host" -H "X-Siskinlink-Request-Id: $2" \
		-H "X-Siskinlink-Token-Count: 1000,400" \
		-H "Authorization: Bearer $key" --data "crashes as $2" \
		"http://${fronts[0]}/report/a")
	[ "$out" = 502 ] || fail "it was answered $out"
	[ "$(asked_engines)" = $((asked + 1)) ] ||
		fail "$(($(asked_engines) - asked)) engines were asked to run it"
	line "$2" attempt_failed | grep -q 'run_ms=-1' ||
		fail "not explained: $(line "$2" attempt_failed)"
	for i in 0 1 2; do
		mode "${backends[$i]}" \
			'{"crashing": false, "crash_after_ms": 0}'
	done
}

# The engine that keeps a report's backup restarts without it and registers under
# its old id. Then the report's engine is killed. There is no copy to continue
# from; an engine that got the request would have to refuse it, or would start it
# again. The stream is cut, and no engine gets the request.
case_asks_no_backup_that_started_again() {
	local victim backup

	save_up 1
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"pace_ms": 100}' # outlasts the start
	done
	report 0 "$work/anew" anew-1 &
	reader=$!
	streams "$work/anew" 5
	victim=$(engine_of anew-1)
	backup=$(line anew-1 request_placed | sed -E 's/.* backup=i-([0-9]+).*/\1/')
	kill -KILL "${backend_pids[$backup]}"
	born=1780000009000
	start_backend "$backup" engines
	streams "$work/anew" 30
	kill -KILL "${backend_pids[$victim]}"
	wait "$reader" && fail "the stream ended as if whole"
	[ "$(state "$backup" taken_over)" = 0 ] ||
		fail "it was asked: $(line anew-1 run_taken_over)"
	start_backend "$victim" engines
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"pace_ms": 20}'
	done
}

# An engine's status promises callers that the request did not run, but the
# header that confirms it is missing: it may have run. With this status the
# caller would send the request again, to run a second time. It gets 502, which
# promises nothing, and the request ran once.
case_promises_only_what_the_endpoint_said() {
	local out before status

	for status in 408 421 429 503; do
		for i in 3 4; do
			mode "${backends[$i]}" "{\"own_status\": $status}"
		done
		before=$(($(state 3 runs) + $(state 4 runs)))
		out=$(ask 0 /lookup/export/a -X POST)
		refused 502 "$out"
		[ $(($(state 3 runs) + $(state 4 runs) - before)) = 1 ] ||
			fail "$status: it did not run once"
	done
	for i in 3 4; do
		mode "${backends[$i]}" '{"own_status": 0}'
	done
}

# Prints the number of requests that all engines got to run or to continue.
asked_engines() {
	local sum=0

	for i in 0 1 2; do
		sum=$((sum + $(state "$i" runs) + $(state "$i" taken_over)))
	done
	echo "$sum"
}

counter() { # NODE NAME
	curl -s "http://${https[$1]}/metrics" | awk -v n="$2" '$1 ~ n {print $2}'
}

# Restarts both nodes, which are then enough for a home.
restart_with_home() {
	home_from_nodes=2
	for i in 0 1; do
		kill -KILL "${node_pids[$i]}"
		write_node "$i"
		start_gateway "$i"
	done
	knows_both() {
		curl -s "http://${directories[0]}/v1/resolve?name=$host" |
			grep -q "${fronts[1]}"
	}
	until_true knows_both || fail "the nodes do not find each other"
}

# With enough nodes for a home, it chooses the engines of reports, also of
# simultaneous ones. Then it is killed: the other node chooses locally, and no
# caller is affected.
case_places_by_the_word_of_a_home() {
	local asks asked=0

	restart_with_home
	asks=()
	for i in 0 1; do
		for k in 1 2 3; do
			report "$i" "$work/home-$i-$k" "home-$i-$k" &
			asks+=($!)
		done
	done
	wait "${asks[@]}" || fail "a stream was cut"
	for i in 0 1; do
		for k in 1 2 3; do
			whole "$work/home-$i-$k" "home-$i-$k" 60
		done
		asked=$((asked + $(counter "$i" gateway_home_asked)))
	done
	[ "$asked" = 3 ] || fail "$asked reports were asked for, not 3"
	home=0
	[ "$(counter 0 gateway_home_asked)" = 0 ] || home=1
	kill -KILL "${node_pids[$home]}"
	report $((1 - home)) "$work/alone" alone-1 || fail "not served alone"
	whole "$work/alone" alone-1 60
	home_from_nodes=16
	for i in 0 1; do
		kill -KILL "${node_pids[$i]}" 2>/dev/null || true
		write_node "$i"
		start_gateway "$i"
	done
}

# With a home, a node asks it for the engine that a report moves to when its own
# one leaves and has no backup. The report goes on there: each event once.
case_moves_by_the_word_of_a_home() {
	local asks asked

	restart_with_home
	save_up 2
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"no_copy": true, "events": 300}'
	done
	asks=()
	for i in 0 1; do
		report "$i" "$work/granted-$i" "granted-$i" &
		asks+=($!)
	done
	for i in 0 1; do
		streams "$work/granted-$i" 5
	done
	victim=$(engine_of granted-0)
	[ "$(counter 0 gateway_home_asked)" = 1 ] ||
		victim=$(engine_of granted-1)
	entry "$victim" engines draining
	wait "${asks[@]}" || fail "a stream was cut"
	for i in 0 1; do
		whole "$work/granted-$i" "granted-$i" 300
	done
	asked=$(($(counter 0 gateway_home_asked) +
		$(counter 1 gateway_home_asked)))
	[ "$asked" -ge 2 ] || fail "$asked requests to the home, not 2"
	home_from_nodes=16
	for i in 0 1 2; do
		mode "${backends[$i]}" '{"no_copy": false, "events": 60}'
	done
	entry "$victim" engines ready
	for i in 0 1; do
		kill -KILL "${node_pids[$i]}" 2>/dev/null || true
		write_node "$i"
		start_gateway "$i"
	done
}

# Guards against a move that the home grants to a cold engine and that its node
# may not use, as its own share of the engine's rate is none: the stream is cut
# when the old engine ends.
case_moves_to_a_cold_engine_by_the_word_of_a_home() {
	local asks

	warmup_per_s=2 backups=false document "$key"
	restart_with_home
	events 500
	for i in 1 2; do
		entry "$i" engines draining
		until_true believed "$i" leaving || fail "engine $i stays"
	done
	asks=()
	for i in 0 1; do
		report "$i" "$work/cold-$i" "cold-$i" &
		asks+=($!)
	done
	for i in 0 1; do
		streams "$work/cold-$i" 5
	done
	sleep 3 # until the nodes know the fleet
	warmup_ms=30000 born=1780000020000 entry 1 engines ready
	until_true believed 1 ready || fail "engine 1 is not back"
	entry 0 engines draining
	sleep 4
	kill -KILL "${backend_pids[0]}"
	wait "${asks[@]}" || fail "a stream was cut"
	for i in 0 1; do
		whole "$work/cold-$i" "cold-$i" 500
	done
	start_backend 0 engines
	events 60
	born=1780000030000
	entry 1 engines ready
	entry 2 engines ready
	home_from_nodes=16
	document "$key"
	for i in 0 1; do
		kill -KILL "${node_pids[$i]}" 2>/dev/null || true
		write_node "$i"
		start_gateway "$i"
	done
}

# believed ENGINE STATE: whether the first node's last line on it has this state.
believed() {
	grep -h "event=endpoint endpoint=i-$1 " "$work/g0.out" |
		tail -n 1 | grep -q "state=$2"
}

# The engine announces that it leaves and copies the run to another one, where
# the copy waits for a prompt. The first engine is killed meanwhile. The run
# continues from the copy, and the log names its engine.
case_goes_on_from_a_waiting_copy() {
	save_up 2
	events 600
	for i in 1 2; do
		entry "$i" engines draining
		until_true believed "$i" leaving || fail "engine $i stays"
	done
	report 0 "$work/waiting" waiting-1 &
	reader=$!
	streams "$work/waiting" 5
	mode "${backends[1]}" '{"pace_ms": 5000}'
	entry 1 engines ready
	until_true believed 1 ready || fail "engine 1 is not back"
	report 0 "$work/reads" reads-1 &
	reads() {
		grep -q "request=reads-1 endpoint=i-1 " "$work/g0.out"
	}
	until_true reads || fail "engine 1 reads no prompt"
	mode "${backends[1]}" '{"pace_ms": 20}'
	entry 0 engines draining
	copied() {
		[ -n "$(line waiting-1 move_whole)" ]
	}
	until_true copied || fail "no copy is made"
	kill -KILL "${backend_pids[0]}"
	wait "$reader" || fail "the stream was cut"
	whole "$work/waiting" waiting-1 600
	line waiting-1 attempt_failed |
		grep -q "decision=take_over .* copy=i-1 .* detail=" ||
		fail "not explained: $(line waiting-1 attempt_failed)"
	start_backend 0 engines
	events 60
	entry 2 engines ready
}

confirm() { # INTENT
	local plan

	plan=$("$bin/siskinlinkctl" --address "${https[2]}" --operator tests \
		plan "$1" | tee "$work/plan.txt" | awk '/^plan / { print $2 }')
	"$bin/siskinlinkctl" --address "${https[2]}" --operator tests \
		confirm "$plan" >/dev/null
}

answers() { # NODE PATH STATUS
	local out

	out=$(ask "$1" "$2")
	[ "${out: -3}" = "$3" ]
}

# A node without the platform's store uses the routes, keys and endpoints of the
# configuration that operators plan and confirm. A plan that removes a route has
# no effect on callers before its confirmation.
case_follows_confirmed_plans() {
	local portal

	export SISKINLINK_OPERATOR_KEY=$operator_key
	start kv "$bin/fake_kv" --address 127.0.0.1:0
	for list in https peers fronts readies directories; do
		eval "$list+=(127.0.0.1:$(free_port))"
	done
	portal=127.0.0.1:$(free_port)
	cat >"$work/g2.toml" <<-TOML
		[node]
		name = "entry-2"
		region = "casablanca"
		failure_domain = "z"
		http_address = "${https[2]}"
		peer_address = "${peers[2]}"
		[keys]
		event_key = "test-event-key-000001"
		operator_key = "$operator_key"
		[platform]
		kv_address = "$address"
		[gateway]
		address = "${fronts[2]}"
		ready_address = "${readies[2]}"
		directory_address = "${directories[2]}"
	TOML
	start backend5 "$bin/fake_backend" --address "$portal" --id "$portal" \
		--plain
	start g2 "$bin/siskinlinkd" --config "$work/g2.toml"
	cat >"$work/routes.toml" <<-TOML
		[[organisations]]
		name = "atlas"
		key = "$key"
		[[services]]
		name = "portal"
		kind = "plain"
		[[services.endpoints]]
		address = "$portal"
		[[routes]]
		name = "lookup"
		host = "$host"
		path_prefix = "/lookup/"
		kind = "idempotent"
		timeout_ms = 1500
		[[routes.targets]]
		service = "portal"
	TOML
	is_ready 2 && fail "ready without a configuration"
	confirm "$work/routes.toml"
	grep -q "add route lookup: $host/lookup/, idempotent" "$work/plan.txt" ||
		fail "the plan doesn't show the route"
	until_true answers 2 /lookup/a 200 || fail "the route isn't served"
	answers 2 /other/a 404 || fail "another path is served"
	out=$(ask 2 /lookup/a -H "Authorization: Bearer nobody")
	[ "${out: -3}" = 200 ] && fail "a key that nobody holds is taken"
	echo 'remove_routes = ["lookup"]' >"$work/remove.toml"
	"$bin/siskinlinkctl" --address "${https[2]}" --operator tests plan \
		"$work/remove.toml" | grep -q "remove route lookup" ||
		fail "the plan doesn't show the removal"
	answers 2 /lookup/a 200 || fail "a plan alone changed something"
	confirm "$work/remove.toml"
	until_true answers 2 /lookup/a 404 || fail "the route is still served"
}

start store "$bin/fake_store" --address 127.0.0.1:0
store=$address
document "$key"
for i in 0 1 2; do
	start_backend "$i" engines
done
start_backend 3 portal --plain
start_backend 4 portal --plain
for i in 0 1; do
	for list in https peers fronts readies directories; do
		eval "$list+=(127.0.0.1:$(free_port))"
	done
done
head -c 100000 /dev/zero >"$work/large"
for i in 0 1; do
	write_node "$i"
	"$bin/siskinlinkd" --config "$work/g$i.toml" --check-config
	start_gateway "$i"
done

[ $# -gt 0 ] || set -- $(declare -F | sed -n 's/^declare -f case_//p')
for name; do
	failures=0
	ends=$(own_ends)
	"case_$name"
	[ "$ends" = "$(own_ends)" ] || fail "a process ended by itself"
	if [ "$failures" = 0 ]; then
		echo "gateway: $name: passed"
		passed=$((passed + 1))
	elif is_known_red gateway "$name"; then
		echo "gateway: $name: known red"
	else
		report_failure "gateway: $name: FAILED"
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]

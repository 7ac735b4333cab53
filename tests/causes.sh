#!/bin/sh
# Tests bench/causes with a recorded log: its tables, causes that the log does
# not have, and logs that are cut off, empty or of an older build.
set -eu
cd "$(dirname "$0")/.."
log=tests/expected/causes.log
name=causes
. tests/script_run.sh

# Changes the recorded log, and expects this row of the table by cause.
expect_cause() { # SED_SCRIPT COUNT CAUSE
	sed "$1" "$log" >"$folder/in"
	cmp -s "$log" "$folder/in" && fail "$3: the script changes nothing"
	run
	sed '/^$/q' "$folder/out" | grep -q "^ *$2  .* %  $3\$" ||
		fail "$3: not $2 requests"
}

# Guards against a cause that changes, and against rows out of order.
cp "$log" "$folder/in"
set -- --first-ms r-sg9zdmp=1500 --first-ms r-abh9hhi=4000 \
	--first-ms r-wvg5238=100
run "$@" "$log"
expect 0 "" "a file"
diff -u tests/expected/causes.txt "$folder/out" || fail "other tables"
run "$@"
expect 0 "" "standard input"
cmp -s tests/expected/causes.txt "$folder/out" || fail "standard input differs"

# Guards against requests with two causes, or none.
ends=$(grep 'event=request_end' "$log" | grep 'relayed_by=""' |
	sed 's/.* request=\([^ ]*\) .*/\1/' | sort -u | wc -l)
counted=$(sed '/^$/q' "$folder/out" | awk '/%/ { n += $1 } END { print n }')
[ "$ends" = "$counted" ] || fail "$ends requests, but $counted causes"

# Guards against times that are judged without --first-ms, or at a wrong limit.
run
if grep -q "late first event" "$folder/out"; then
	fail "judges first events without --first-ms"
fi
run --pause-ms 100000
! grep -q "late by a pause" "$folder/out" || fail "ignores --pause-ms"

# Guards against causes that are mixed up where the recorded log has none.
expect_cause '/decision=break/s/budget=no/budget=yes/' 2 \
	"broken off: copy, not used"
expect_cause 's/event=move_failed/event=move_whole/' 4 "broken off: copy lost"
expect_cause 's/ status=503 reason=refused/ status=507 reason=refused/' 2 \
	"broken off: move refused 507"
expect_cause 's/outcome=broken reason=broken/outcome=broken reason=deadline/' \
	11 "broken off: deadline"
expect_cause '/relayed_by=front.*outcome=whole/s/pause_ms=[0-9]*$/pause_ms=999/' \
	4 "late by a pause: same engine"
expect_cause 's/reason=no_room/reason=not_known_here/' 1 "refused: other"

# Guards against a cut line that is taken with what is left of it.
grep -v '^$\|^-' "$log" >"$folder/whole"
head -c -40 "$folder/whole" >"$folder/in"
run
expect 1 "standard input: lines cut off and skipped: 1 " "a cut log"
grep -q "requests\$" "$folder/out" || fail "a cut log: no tables"
awk '/event=request_end/ && !n++ { print substr($0, 1, 150); next } { print }' \
	"$log" >"$folder/in"
run
expect 1 "lines cut off and skipped: 1 (first ones: [0-9]" "a line cut within"

# Guards against tables that are wrong because fields are missing.
sed 's/ pause_ms=[0-9]*$//' "$log" >"$folder/in"
run
expect 2 "event=request_end has no field pause_ms; .* older build" "an old log"
sed 's/ unread_tokens=[0-9]*$//' "$log" >"$folder/in"
run
expect 2 "event=request_placed has no field unread_tokens" "an old log"
[ ! -s "$folder/out" ] || fail "an old log: tables"

: >"$folder/in"
run
expect 2 "standard input: empty" "an empty log"
echo "built in 22.7 s" >"$folder/in"
run
expect 2 "no request has ended" "no log"
run "$folder/none"
expect 2 "no readable file" "a missing file"
run --first-ms 1500 "$log"
expect 2 "not ROUTE=MS" "a time without a route"
run --pause-ms soon "$log"
expect 2 "not a number of ms" "a pause that is no number"
run --unknown
expect 2 "usage: bench/causes" "an unknown option"

[ "$failed" = 0 ] && echo "causes: tables as expected"
exit "$failed"

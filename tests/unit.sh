#!/usr/bin/env bash
# Runs the unit tests, several shards side by side, each a process of its own.
#
#     tests/unit.sh BIN SHARDS [FILTER]
#
# FILTER is that of --gtest_filter. Prints what failed, and how many passed.
set -u
bin=$(cd "$1" && pwd)
shards=$2
filter=${3:-*}
cd "$(dirname "$0")/.."
work=$(mktemp -d -t siskinlink-unit.XXXXXX)
trap 'rm -rf "$work"' EXIT

pids=()
for ((i = 0; i < shards; i++)); do
	SISKINLINK_BIN=$bin GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$i \
		"$bin/tests" --gtest_filter="$filter" >"$work/$i" 2>&1 &
	pids+=($!)
done
status=0
for ((i = 0; i < shards; i++)); do
	code=0
	wait "${pids[$i]}" || code=$?
	[ "$code" -ne 0 ] || continue
	status=1
	echo "unit: shard $i of $shards ended with status $code"
	awk '/^\[ RUN / { text = "" } { text = text $0 "\n" }
		/^\[  FAILED  \].*ms\)$/ { printf "%s", text }
		END { if (text !~ /(PASSED|FAILED)/) printf "%s", text }' \
		"$work/$i"
done
passed=$(cat "$work"/* | grep -c '^\[       OK \]')
failed=$(cat "$work"/* | grep -c '^\[  FAILED  \].*ms)$')
echo "unit: $passed passed, $failed failed"
exit $status

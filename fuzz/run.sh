#!/bin/sh
# run.sh RUNS TARGET...: runs each fuzz target on its corpus and on RUNS
# inputs mutated from it with a fixed seed, one target for each processor at a
# time; fails if one finds a failing input.
set -u
if [ "$1" = --one ]; then
	runs=$2
	target=$3
	seeds=$(dirname "$0")/corpus
	name=$(basename "$target" _fuzz)
	found=$(dirname "$target")/../corpus/$name
	rm -rf "$found"
	mkdir -p "$found" "$seeds/$name"
	if ! "$target" -runs="$runs" -seed=1 -max_len=4096 -timeout=20 \
		-artifact_prefix="$found/" "$found" "$seeds/$name" \
		>"$found.log" 2>&1; then
		tail -n 40 "$found.log"
		echo "fuzz: $name fails; repeat: $target FILE of $found"
		exit 1
	fi
	echo "fuzz: $name, $runs inputs"
	exit 0
fi
runs=$1
shift
printf '%s\n' "$@" | xargs -n 1 -P "$(nproc)" "$0" --one "$runs"

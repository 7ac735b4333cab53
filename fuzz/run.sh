#!/bin/sh
# run.sh RUNS TARGET...: runs each fuzz target on its seeds and so many inputs
# made from them, by a fixed seed; fails at the first input that fails.
runs=$1
shift
seeds=$(dirname "$0")/corpus
for target in "$@"; do
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
done

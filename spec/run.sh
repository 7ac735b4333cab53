#!/bin/sh
# Checks the models in spec/ with spin: each model holds, and each of its
# mutants, which remove one safeguard, violates a property.
#
#     spec/run.sh BUILD_FOLDER
set -eu
cd "$(dirname "$0")"
work=$(mkdir -p "$1" && cd "$1" && pwd)
failed=0

# check MODEL [DEFINE]: writes what pan printed to $work/out; 0: no error found
check() {
	rm -rf "$work/run" && mkdir "$work/run"
	cp "$1" "$work/run/model.pml"
	(
		cd "$work/run"
		spin ${2:+-D"$2"} -a model.pml >/dev/null
		cc -O1 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -w -o pan pan.c
		./pan -m200000 -w22 -n >"$work/out" 2>&1
	)
	grep -q 'errors: 0' "$work/out"
}

for model in *.pml; do
	if ! check "$model" || grep -q 'search depth too small' "$work/out"; then
		cat "$work/out"
		echo "$model: does not hold"
		exit 1
	fi
	echo "$model: holds,$(awk '/states, stored/ { print " " $1 " states" }' \
		"$work/out")"
	for mutant in $(grep -o 'MUTANT_[0-9]*' "$model" | sort -u |
		grep '[0-9]$'); do
		if check "$model" "$mutant"; then
			echo "$model: $mutant breaks nothing"
			failed=1
		elif ! grep -q 'errors: [1-9]' "$work/out"; then
			cat "$work/out"
			exit 1
		else
			echo "$model: $mutant is found out"
		fi
	done
done
exit $failed

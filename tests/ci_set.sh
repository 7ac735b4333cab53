#!/usr/bin/env bash
# Lists what the CI of a commit checks, a line each, for a comparison of two:
#
#     diff <(tests/ci_set.sh OLD) <(tests/ci_set.sh NEW)
#
# Unit tests by name, cases, seeds of the soak with their arguments, mutants,
# models, fuzz targets with their runs, ablations, steps under sanitizers.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git archive "$1" | tar -x -C "$work" --exclude=journal
cd "$work"

sed -nE 's/^(TEST|TEST_F|TEST_P)\((.*), *(.*)\)$/unit \2.\3/p' tests/*.cc | sort
sed -n 's/^case_\([a-z0-9_]*\)() {$/gateway \1/p' tests/gateway.sh | sort
sed -n 's/^case_\([a-z0-9_]*\)() {$/faults \1/p' tests/faults.sh | sort
grep -c '# [0-9][0-9][0-9]$' docs/API.md | sed 's/^/api lines /'

# seeds RANGE ARGUMENTS...: a line for each seed.
seeds() {
	local first=${1%-*} last=${1#*-}

	shift
	for ((seed = first; seed <= last; seed++)); do
		echo "soak $seed $*"
	done
}

if [ -f tests/soak/ci.plays ]; then
	sed -nE 's/^--seeds ([0-9-]+) ?(.*)$/\1 \2/p' tests/soak/ci.plays
else
	tr '\n' ' ' <.ci/run | sed 's/\\ *//g; s/make -s/\n&/g' |
		sed -nE 's/.*soak-processes SEEDS=([0-9-]+)[[:space:]]*(SOAK_ARGS="([^"]*)")?.*/\1 \3/p'
fi | while read -r range arguments; do
	seeds "$range" "$arguments"
done | sed 's/ *$//' | sort
ls tests/mutants bench/ablation | grep -E 'mutant|ablation' | sort
for model in spec/*.pml; do
	echo "model $model $(grep -o 'MUTANT_[0-9]*' "$model" | sort -u |
		grep -c '[0-9]$') mutants"
done
ls fuzz/*_fuzz.c | sed 's/$/ '"$(sed -n 's/^FUZZ_RUNS ?= //p' Makefile)"' inputs/'
cat .ci/run .ci/steps 2>/dev/null | grep -oE 'make .*SEEDS=2000|fuzz-short|demo(-platform)?$|soak-known-red|format-check|make -s tidy' |
	sed 's/make -s //' | sort -u | sed 's/^/step /'
sed -n 's/^check: //p' Makefile | sed 's/^/check /'
{
	grep -q 'SANITIZE=1 B=build/sanitize check' .ci/run &&
		echo "unit pure fields causes api faults gateway"
	sed -n 's/^.*sanitize-[a-z]* .*SANITIZE=1 B=build\/sanitize //p' .ci/steps 2>/dev/null
} | tr ' ' '\n' | grep -vE 'all|build' | sort -u | sed 's/^/sanitize /'

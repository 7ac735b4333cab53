#!/bin/sh
# Removes one safeguard at a time and requires that the tests named for it fail
# without it. They must pass with it, which is checked first.
#
#     tests/mutants.sh BUILD_FOLDER [MUTANT...]
#
# A file of tests/mutants names the safeguard, its source file and the tests,
# then gives text sections: "--- with" quotes source text that occurs exactly
# once, and "--- without" its replacement. MUTANT_JOBS mutants run at a time, by
# default two for each processor, as most tests wait; each has a copy in
# BUILD_FOLDER of its own. Its tests end at the first that fails. A mutant whose
# tests take more than half of their time is named.
set -eu
cd "$(dirname "$0")/.."
. tests/mutate.sh
limit_s=60

report() { # MUTANT VERDICT
	echo "mutants: $(basename "$1" .mutant): $2"
}

# Copies the sources and objects; the tests' objects, which no mutant changes,
# are linked.
prepare_copy() { # BUILD_FOLDER COPY
	mkdir -p "$2/build/bin"
	cp -pR Makefile ports core codec adapters platform daemons fakes bench \
		tests config docs fuzz "$2/"
	for folder in core codec adapters platform daemons fakes bench; do
		cp -pR "$1/$folder" "$2/build/"
	done
	cp -pR -l "$1/tests" "$2/build/"
	cp -p "$1"/*.a "$2/build/"
}

# Returns 0 if the tests detect the mutant. Restores the source and its object.
run_mutant() { # BUILD_FOLDER COPY MUTANT
	file=$(field "$3" file)
	filter=$(field "$3" fails)
	object=${file%.c}.o
	status=0

	if ! mutate "$3" "$file" "$2/$file" 2>"$2/out"; then
		cat "$2/out"
		report "$3" "does not apply to $file"
		status=1
	elif ! make -s -C "$2" CFLAGS=-w \
		LDFLAGS="-fuse-ld=lld -Wl,--strip-debug" build/bin/tests >"$2/out" 2>&1; then
		cat "$2/out"
		report "$3" "does not build"
		status=1
	else
		code=0
		begin_s=$(date +%s)
		(cd "$2" && timeout $limit_s build/bin/tests --gtest_fail_fast \
			--gtest_filter="$filter" >out 2>&1) || code=$?
		took_s=$(($(date +%s) - begin_s))
		[ $took_s -le $((limit_s / 2)) ] ||
			report "$3" "tests took $took_s of $limit_s s"
		case $code in
		0) report "$3" "NOT found out by $filter" && status=1 ;;
		124) report "$3" "tests did not end" && status=1 ;;
		1) report "$3" "found out" ;;
		*) report "$3" "tests ended with status $code" && status=1 ;;
		esac
		[ "$status" = 0 ] || tail -n 10 "$2/out"
	fi
	cp -p "$file" "$2/$file"
	cp -p "$1/$object" "$2/build/$object"
	return $status
}

# A job of the run below: tests one mutant in the copy of this job's slot.
if [ "$1" = --job ]; then
	copy=$2/mutants/${MUTANT_SLOT:-0}
	name=$(basename "$3" .mutant)
	[ -d "$copy" ] || prepare_copy "$2" "$copy"
	if run_mutant "$2" "$copy" "$3" >"$2/mutants/$name.log"; then
		touch "$2/mutants/$name.passed"
	fi
	exit 0
fi

build=$(cd "$1" && pwd)
shift
[ $# -gt 0 ] || set -- tests/mutants/*.mutant
work=$build/mutants
passed=0
failed=0

rm -rf "$work"
mkdir -p "$work"
filters=$(for mutant; do field "$mutant" fails; done | sort -u | paste -sd:)
jobs=${MUTANT_JOBS:-$(($(nproc) * 2))}
if ! tests/unit.sh "$build/bin" "$jobs" "$filters" >"$work/out" 2>&1; then
	cat "$work/out"
	echo "mutants: the tests fail with all safeguards in place"
	exit 1
fi
printf '%s\n' "$@" | xargs -n 1 -P "$jobs" \
	--process-slot-var=MUTANT_SLOT tests/mutants.sh --job "$build"
# What failed is printed last, where it is read first.
for mutant; do
	name=$(basename "$mutant" .mutant)
	if [ -e "$work/$name.passed" ]; then
		cat "$work/$name.log"
		passed=$((passed + 1))
	else
		cat "$work/$name.log" >>"$work/failed"
		failed=$((failed + 1))
	fi
done
[ "$failed" -eq 0 ] || cat "$work/failed"
echo "mutants: $passed passed, $failed failed"
[ "$failed" -eq 0 ]

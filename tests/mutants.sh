#!/bin/sh
# Removes one safeguard at a time and requires that the tests named for it fail
# without it. They must pass with it, which is checked first.
#
#     tests/mutants.sh BUILD_FOLDER [MUTANT...]
#
# A file of tests/mutants names the safeguard, its source file and the tests,
# then gives text sections: "--- with" quotes source text that occurs exactly
# once, and "--- without" its replacement. Copies are made and built in
# BUILD_FOLDER.
set -eu
cd "$(dirname "$0")/.."
build=$(cd "$1" && pwd)
shift
[ $# -gt 0 ] || set -- tests/mutants/*.mutant
work=$build/mutants
passed=0
failed=0

. tests/mutate.sh

report() { # MUTANT VERDICT
	echo "mutants: $(basename "$1" .mutant): $2"
}

# Returns 0 if the tests detect the mutant. Restores the source and its object.
run_mutant() { # MUTANT
	file=$(field "$1" file)
	filter=$(field "$1" fails)
	object=${file%.c}.o
	status=0

	if ! mutate "$1" "$file" "$work/$file" 2>"$work/out"; then
		cat "$work/out"
		report "$1" "does not apply to $file"
		status=1
	elif ! make -s -j4 -C "$work" CFLAGS=-w build/bin/tests \
		>"$work/out" 2>&1; then
		cat "$work/out"
		report "$1" "does not build"
		status=1
	else
		code=0
		(cd "$work" && timeout 60 build/bin/tests \
			--gtest_filter="$filter" >out 2>&1) || code=$?
		case $code in
		0) report "$1" "NOT found out by $filter" && status=1 ;;
		124) report "$1" "tests did not end" && status=1 ;;
		1) report "$1" "found out" ;;
		*) report "$1" "tests ended with status $code" && status=1 ;;
		esac
	fi
	cp -p "$file" "$work/$file"
	cp -p "$build/$object" "$work/build/$object"
	return $status
}

rm -rf "$work"
mkdir -p "$work/build"
cp -pR Makefile ports core codec adapters platform daemons fakes bench tests config \
	docs fuzz "$work/"
for folder in core codec adapters platform daemons fakes bench tests; do
	cp -pR "$build/$folder" "$work/build/"
done
cp -p "$build"/*.a "$work/build/"
mkdir "$work/build/bin"
cp -p "$build/bin/tests" "$work/build/bin/"

filters=$(for mutant; do field "$mutant" fails; done | sort -u | paste -sd:)
if ! (cd "$work" && build/bin/tests --gtest_filter="$filters") \
	>"$work/out" 2>&1; then
	cat "$work/out"
	echo "mutants: the tests fail with all safeguards in place"
	exit 1
fi
for mutant; do
	if run_mutant "$mutant"; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
	fi
done
echo "mutants: $passed passed, $failed failed"
[ "$failed" -eq 0 ]

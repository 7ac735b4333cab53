#!/usr/bin/env bash
# Runs every curl line of docs/API.md against three nodes on fakes and checks
# the status noted after each. api.sh BIN
set -euo pipefail

bin=$1
cd "$(dirname "$0")/.."
# shellcheck source=tests/processes.sh
. tests/processes.sh

start_fakes
start_nodes
configure

# Used by the curl lines of docs/API.md.
export NODE="http://${https[0]}" KEY=$organisation_key
export OPERATOR_KEY=$operator_key
passed=0
failed=0
while IFS= read -r line; do
	wanted=${line##*# }
	command=${line% # *}
	got=$(bash -c "$command -m 30 -o '$work/answer' -w '%{http_code}'")
	if [ "$got" = "$wanted" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "wanted $wanted, got $got: $command"
		head -c 500 "$work/answer"
		echo
	fi
done < <(grep '^curl ' docs/API.md)
echo "docs/API.md: $passed passed, $failed failed"

# Compares an intent that is in force with the node's configuration.
check=$("${ctl[@]}" check "$work/intent.toml")
if [ "$(grep -c "^warning: nothing changes$" <<<"$check")" = 1 ]; then
	echo "check: passed"
else
	echo "check: failed: $check"
	failed=$((failed + 1))
fi
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]

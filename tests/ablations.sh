#!/bin/sh
# Checks that each ablation still quotes its source. An ablation that no longer
# applies would be noticed only when its figures are due.
#
#     tests/ablations.sh FOLDER
set -eu
cd "$(dirname "$0")/.."
. tests/mutate.sh

mkdir -p "$1"
failed=0
for ablation in bench/ablation/*.ablation; do
	mutate "$ablation" "$(field "$ablation" file)" "$1/source" ||
		{ echo "ablations: $ablation does not apply"; failed=1; }
done
[ "$failed" = 0 ] && echo "ablations: all apply"

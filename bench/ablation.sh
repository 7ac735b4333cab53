#!/bin/sh
# Copies the sources with one mechanism removed from each copy, to measure the
# effect of the mechanism, and runs a command in every copy.
#
#     bench/ablation.sh FOLDER [-c COMMAND] [ABLATION...]
#
# A file of bench/ablation names the mechanism and its source file, then gives
# text sections: "--- with" quotes source text that occurs exactly once, and
# "--- without" its replacement. The copies are FOLDER/NAME, and FOLDER/whole
# with nothing removed; the shell runs COMMAND in one copy after the other.
set -eu
cd "$(dirname "$0")/.."
. tests/mutate.sh

[ $# -gt 0 ] || { sed -n '2,12p' "$0" >&2; exit 2; }
folder=$1
shift
command=:
if [ "${1:-}" = -c ]; then
	command=$2
	shift 2
fi
[ $# -gt 0 ] || set -- bench/ablation/*.ablation

copy() { # NAME
	mkdir -p "$folder/$1"
	git ls-files -z --cached --others --exclude-standard |
		grep -zv '^journal/' | xargs -0 cp -p --parents -t "$folder/$1"
}

mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
copy whole
(cd "$folder/whole" && sh -c "$command")
for ablation; do
	name=$(basename "$ablation" .ablation)
	file=$(field "$ablation" file)
	copy "$name"
	mutate "$ablation" "$file" "$folder/$name/$file"
	(cd "$folder/$name" && sh -c "$command")
done

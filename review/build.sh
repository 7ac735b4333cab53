#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/ start, into target/review.
# The project's own, the store, comes with the build of the deploy file, and is
# built here if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
[ -x target/bin/siskinlinkd ] && [ -x target/bin/fake_store ] ||
	make -s -j4 B=target target/bin/siskinlinkd target/bin/fake_store
for program in engine client; do
	gcc -O2 -Wall -Wextra -pthread -o "target/review/$program" \
		"review/standins/$program.c" review/standins/http.c
done

#!/bin/sh
# Tests bench/pairs with a command that prints known figures: its tables, a run
# that was stopped and goes on, a build that does not start, and wrong use.
set -eu
cd "$(dirname "$0")/.."
name=pairs
. tests/script_run.sh

mkdir "$folder/old" "$folder/new"
echo 0.60 >"$folder/old/base"
echo 0.65 >"$folder/new/base"
cat >"$folder/in" <<EOF
# site day seed
quito trouble 1
quito trouble 2
quito trouble 3
amman scale 1
EOF
play='set -e; echo "$SITE $DAY $SEED" >>played
awk -v seed="$SEED" "{ print \"worth\", \$1 + 0.01 * seed * seed * (\$1 > 0.6) }" base
echo "failed 3"; echo "not a figure"'

run -c "$play" -r "$folder/results" old="$folder/old" new="$folder/new"
expect 0 "" plays
cat >"$folder/expected" <<'EOF'
figure     site                     builds       pairs       mean     95% confidence interval
worth      quito                    new-old          3    +0.0967    -0.0037 to +0.1971
worth      all                      new-old          4    +0.0875    +0.0274 to +0.1476
failed     quito                    new-old          3    +0.0000    +0.0000 to +0.0000
failed     all                      new-old          4    +0.0000    +0.0000 to +0.0000
worth      amman                    new-old          1    +0.0600          one pair only
failed     amman                    new-old          1    +0.0000          one pair only
EOF
diff -u "$folder/expected" "$folder/out" || fail "tables differ"

# What stands in the results is not played again.
sed -i '/^new amman scale 1 DONE/d' "$folder/results"
run -c "$play" -r "$folder/results" old="$folder/old" new="$folder/new"
expect 0 "" "goes on"
[ "$(grep -c . "$folder/old/played")" = 4 ] || fail "a whole play was repeated"
[ "$(grep -c . "$folder/new/played")" = 5 ] || fail "a cut one was not"

rm "$folder/new/base"
run -c "$play" -r "$folder/fails" old="$folder/old" new="$folder/new"
expect 1 "new quito trouble 1: .*base" "does not start"
grep -q "4 plays failed" "$folder/out" || fail "failures are not counted"

run -c "$play" -r "$folder/none" old="$folder/old" new="$folder/gone"
expect 2 "new: no folder" "no folder"
echo "quito trouble" >"$folder/in"
run -c "$play" -r "$folder/none" old="$folder/old" new="$folder/new"
expect 2 "expected SITE DAY SEED" "a line without a seed"
run -c "$play" old="$folder/old" new="$folder/new"
expect 2 "bench/pairs -c" "no results"
[ "$failed" = 0 ] && echo "pairs: passed"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
n=$(basename "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)")
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
case_dir=review/$n
program=target/review/case-$n
[ -x "$program" ] && [ -x target/release/briarlug ] || exit 2
"$program" "$case_dir"
code=$?
# The program ends its processes itself, unless it crashes.
for pid in $(sed -n 's/.* starts, pid //p' "$case_dir/record.txt"); do
  if grep -qs briarlug "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
done
[ "$code" = 0 ] || [ "$code" = 1 ] || exit 2
exit "$code"

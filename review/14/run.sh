#!/bin/sh
# Needs the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/briarlug ] && [ -x target/review/mesh3 ] || exit 2
exec target/review/mesh3 popular-path review/14/record.txt

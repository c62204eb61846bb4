#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Before it: the build of deploy/system.toml, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/briarlug ] && [ -x target/review-2/mesh2 ] || exit 2
exec target/review-2/mesh2 retries review/10/record.txt

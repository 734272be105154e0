#!/bin/sh
# A backend server crashes and is back; many small tasks wait for it.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves
# out the disruption. See claim.txt; record.txt has what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bamboojobd ] || exit 2
[ -x target/world ] || sh review/build-2.sh || exit 2
exec target/world large-step review/9

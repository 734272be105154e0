#!/bin/sh
# A backend server is lost for good while its agent starts again.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves
# out the disruption. See claim.txt; record.txt has what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bamboojobd ] || exit 2
[ -x target/world ] || sh review/build-2.sh || exit 2
exec target/world gone review/8

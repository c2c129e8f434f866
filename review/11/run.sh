#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carobbend ] && [ -x target/review-3/standin-3 ] || exit 2
exec target/review-3/standin-3 tenants review/11

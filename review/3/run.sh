#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/sloequay ] && [ -x review/bin/standin ] || exit 2
exec review/bin/standin 3 review/3/record.txt

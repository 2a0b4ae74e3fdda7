#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case3 ] || exit 2
exec target/review/case3 review/3

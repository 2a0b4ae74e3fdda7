#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the trouble out.
# What was sent, answered and run is written to record.txt in this folder, which each run begins anew.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
echo "case 2, TROUBLE=${TROUBLE:-1}, $(date -u '+%Y-%m-%d %H:%M:%S') UTC" > "$record" || exit 2
for program in target/sidecar target/controlplane target/review/case2; do
	if [ ! -x "$program" ]; then
		echo "not run: $program is missing; the build of the deploy file and review/build.sh come first" | tee -a "$record"
		exit 2
	fi
done
target/review/case2 "$record"
status=$?
echo "exit status $status" >> "$record"
exit $status

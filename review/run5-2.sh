#!/bin/sh
# Runs the scripts of cases 6 to 10 five times with their disruption and five times
# without it, and prints how often each failed.
cd "$(dirname "$0")"
for n in 6 7 8 9 10; do
	test -x "$n/run.sh" || continue
	for trouble in 1 0; do
		codes=
		for i in 1 2 3 4 5; do
			TROUBLE=$trouble "$n/run.sh" >/dev/null
			codes="$codes $?"
		done
		echo "case $n, TROUBLE=$trouble: exit codes$codes"
	done
done

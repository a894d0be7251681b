#!/bin/sh
# Runs a case without its disruption and five times with it: run5-3.sh N
cd "$(dirname "$0")" || exit 1
TROUBLE=0 "$1/run.sh"
echo "case $1, TROUBLE=0: exit $?"
for i in 1 2 3 4 5; do
	TROUBLE=1 "$1/run.sh"
	echo "case $1, run $i: exit $?"
done

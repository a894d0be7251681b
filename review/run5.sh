#!/bin/sh
# Run a case five times with its disruption and once without; print the codes.
cd "$(dirname "$0")/$1" || exit 2
for i in 1 2 3 4 5; do
	./run.sh >/dev/null 2>&1
	echo "case $1 run $i: exit $?"
done
TROUBLE=0 ./run.sh >/dev/null 2>&1
echo "case $1 without the disruption: exit $?"

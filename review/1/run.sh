#!/bin/sh
# Writes record.txt here.  Exits with 1 if the rule was broken, with 0 if it
# held, with 2 if the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py

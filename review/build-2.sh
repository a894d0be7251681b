#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files, kit-2/kit.py and the case.py of
# each case; nothing is compiled.  This checks that they can run, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -x target/bin/bulrushford-node
for f in review/kit-2/kit.py review/6/case.py review/7/case.py \
    review/8/case.py review/9/case.py review/10/case.py; do
	test ! -e "$f" || python3 -c '
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$f"
done

#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which are Python programs: checks
# that each can be compiled.  The nodes come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 - kit-3/*.py 1[1-5]/*.py <<'PY'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
    print("checked", path)
PY

#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. They are written in Python and
# need its standard library only, so this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in [pathlib.Path("standins_2.py"), *pathlib.Path(".").glob("[4-8]/case.py")]:
    ast.parse(path.read_text(), str(path))
CHECK

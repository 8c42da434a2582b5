#!/bin/sh
# The stand-ins of the scripts are Python programs without a build; this checks
# that they compile.
cd "$(dirname "$0")" || exit 1
for file in standins.py */*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done

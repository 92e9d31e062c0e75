#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They are Python programs without
# dependencies, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in kit2.py 6/case.py 7/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

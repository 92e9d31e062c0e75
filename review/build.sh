#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile kit.py [1-5]/case.py

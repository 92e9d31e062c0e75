#!/usr/bin/env bash
# Runs a deployment under random faults: --deployment carbones|caroni --seed N --seconds S.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh >/dev/null
exec python3 scripts/fleet/fault_run.py "$@"

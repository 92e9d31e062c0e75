#!/usr/bin/env bash
# Installs the packages, builds, starts a small fleet with stand-ins on loopback, sends a streamed
# request and a booking, prints the answers, the bill and the budget, and stops the fleet. With --keep
# the fleet runs until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
exec python3 scripts/fleet/quickstart.py "$@"

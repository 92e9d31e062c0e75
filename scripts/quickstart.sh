#!/usr/bin/env bash
# Installs, builds, starts a small fleet with stand-ins on loopback, sends a streamed request and a
# booking, prints answers, bill and budget, and stops what it started. --keep leaves it running.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
exec python3 scripts/fleet/quickstart.py "$@"

#!/usr/bin/env bash
# Installs the packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
# docs/events.md must have the catalogue of log events that the programs print.
build/dotterelctl events | diff - <(sed -n '/^| Number/,$p' docs/events.md)
if [ -s KNOWN-RED.txt ]; then
    echo "Skipped because of known faults (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
fi
ctest --test-dir build --output-on-failure -j 4

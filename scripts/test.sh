#!/usr/bin/env bash
# Installs the packages, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
ctest --test-dir build --output-on-failure -j 4

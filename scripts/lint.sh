#!/usr/bin/env bash
# Checks formatting and runs clang-tidy, on all C++ files or on the files given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
fi
clang-format --dry-run --Werror "${files[@]}"
# Also with an existing build directory, which may lack new sources and definitions.
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } |
    xargs -r -P "$(nproc)" -n 2 clang-tidy -p build --quiet

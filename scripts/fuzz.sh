#!/usr/bin/env bash
# Fuzzes the parsers with libFuzzer and AddressSanitizer. Argument: seconds (default 60). The seed
# corpus is fuzz/corpus; new inputs are written to out/corpus.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
dpkg-query -W libclang-rt-14-dev >/dev/null 2>&1 || apt-get install -y -qq clang-14 libclang-rt-14-dev
cmake -S . -B build-fuzz -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER=clang++-14 \
    -DDOTTERELPORT_FUZZ=ON -DBUILD_TESTING=OFF >/dev/null
cmake --build build-fuzz --target fuzz-parsers
mkdir -p out/corpus
build-fuzz/fuzz-parsers -seed=1 -max_total_time="$seconds" -max_len=4096 -print_final_stats=1 \
    out/corpus fuzz/corpus

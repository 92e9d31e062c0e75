#!/usr/bin/env bash
# Installs every package that the build, the tests and the checks need (Debian 12).
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config git python3
    clang-format clang-tidy
    libh2o-evloop-dev libjsonrpccpp-dev prometheus-cpp-dev libtclap-dev liblog4cplus-dev
    nlohmann-json3-dev libvalijson-dev libxxhash-dev libssl-dev
    catch2 librapidcheck-dev libbenchmark-dev
    curl gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null

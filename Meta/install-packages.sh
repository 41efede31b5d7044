#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter require.
set -euo pipefail
packages=(
    cmake ninja-build ccache pkg-config g++ python3
    libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-log1.81-dev
    libboost-json1.81-dev libboost-url1.81-dev
    libcapnp-dev libpopt-dev libssl-dev liburcu-dev libxxhash-dev
    catch2 libtrompeloeil-cpp-dev
    clang-format clang-tidy gnuplot-nox curl
)
if dpkg -s "${packages[@]}" > /dev/null 2>&1; then
    exit 0
fi
as_root=""
[ "$(id -u)" -eq 0 ] || as_root="sudo"
$as_root apt-get update -qq
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends "${packages[@]}"

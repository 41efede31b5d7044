#!/usr/bin/env bash
# Builds radishplank and runs its benchmarks on the loopback interface; `Meta/bench.sh --help` lists
# the parts.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
build_dir="${BUILD_DIR:-Build}"
cmake -S . -B "$build_dir" -G Ninja > /dev/null
cmake --build "$build_dir" > /dev/null
exec python3 Meta/bench.py --build "$build_dir" "$@"

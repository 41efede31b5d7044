#!/usr/bin/env bash
# Installs, builds, lints and runs all tests. The tests in KNOWN-RED.txt are printed, not run.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
export BUILD_DIR="${BUILD_DIR:-Build}"
cmake -S . -B "$BUILD_DIR" -G Ninja > /dev/null
cmake --build "$BUILD_DIR"
[ "${SKIP_LINT:-}" = 1 ] || Meta/lint.sh

# A short run under AddressSanitizer and UndefinedBehaviorSanitizer: the decisions, without I/O.
cmake -S . -B "$BUILD_DIR/Sanitize" -G Ninja -DRADISHPLANK_SANITIZE=ON > /dev/null
cmake --build "$BUILD_DIR/Sanitize" --target TestCore TestStore TestCatalogue TestServing TestLimits TestBatch
for program in TestCore TestStore TestCatalogue TestServing TestLimits TestBatch; do
    "$BUILD_DIR/Sanitize/Tests/$program"
done

known_red="$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)"
if [ -n "$known_red" ]; then
    echo "Known red, not run:"
    cat KNOWN-RED.txt
    ctest --test-dir "$BUILD_DIR" -j 2 --output-on-failure -E "$known_red"
else
    ctest --test-dir "$BUILD_DIR" -j 2 --output-on-failure
fi

#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all source files; BUILD_DIR contains the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${BUILD_DIR:-Build}"
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp' | grep -v '\.capnp\.')
printf '%s\0' "${sources[@]}" \
    | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build_dir" --quiet --extra-arg=-Wno-unknown-warning-option 2> /dev/null
echo "lint: ${#files[@]} files, no findings"

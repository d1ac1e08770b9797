#!/usr/bin/env bash
# Installs packages, checks the format, builds, lints and runs all tests, also
# under the sanitizers. Prints one verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${HEMLOCKWICK_JOBS:-$(nproc)}"

Utilities/install_packages.sh
Utilities/format.sh --check

# build DIRECTORY TARGET [CMAKE OPTIONS...]
build() {
  local directory="$1" target="$2"
  shift 2
  cmake -S . -B "$directory" -G Ninja "$@" >"$directory.log" 2>&1 ||
    { cat "$directory.log"; return 1; }
  cmake --build "$directory" -j "$jobs" --target "$target"
}

build build all
Utilities/lint.sh build
ctest --test-dir build --output-on-failure -j "$jobs"

build build-asan all -DHEMLOCKWICK_SANITIZE=address,undefined
ctest --test-dir build-asan --output-on-failure -j "$jobs"

build build-tsan thread_tests -DHEMLOCKWICK_SANITIZE=thread
ctest --test-dir build-tsan --output-on-failure -j "$jobs" -L threads

sed '/^#/d;/^$/d' KNOWN-RED.txt

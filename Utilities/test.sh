#!/usr/bin/env bash
# Installs packages, checks the format, builds, lints and runs all tests, also
# under the sanitizers. Passes over the tests named in KNOWN-RED.txt and prints
# them.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${HEMLOCKWICK_JOBS:-$(nproc)}"

# Lets a clone in another folder use what was compiled in this one.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

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

known_red() {
  sed -e '/^#/d' -e '/^[[:space:]]*$/d' KNOWN-RED.txt
}

# run_tests DIRECTORY [CTEST OPTIONS...]
run_tests() {
  local directory="$1" red
  shift
  red="$(known_red | sed -e 's/[[:space:]]*|.*//' | paste -sd '|')"
  ctest --test-dir "$directory" --output-on-failure -j "$jobs" \
    --no-tests=error ${red:+-E "^($red)\$"} "$@"
}

build build all
Utilities/lint.sh build
run_tests build

build build-asan all -DHEMLOCKWICK_SANITIZE=address,undefined
run_tests build-asan

build build-tsan thread_tests -DHEMLOCKWICK_SANITIZE=thread
run_tests build-tsan -L threads

echo "Known red:"
known_red

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2. Needs the
# compiler of the deploy file's packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for case in stale_case entry_case restart_case ids_case flow_case; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "build-review-2/$case" \
    "review/stand-in-2/$case.cc"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: the store, the backends, the
# routers and the clients of review/stand-in-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra review/stand-in-3/main.cc -o target/review-3/case

#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start. The build of the
# deploy file makes the program under test.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cc; do
  number="$(basename "$(dirname "$case")")"
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Ireview -ISource \
    -o "target/review/case-$number" "$case" review/harness/*.cc
done

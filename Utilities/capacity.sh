#!/usr/bin/env bash
# Measures the slopes afresh and writes their table into docs/CAPACITY.md,
# between its two marker lines. Needs a built tree.
# Usage: Utilities/capacity.sh [BUILD_DIR] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
measure="${1:-build}/Source/Measure/hemlockwick-measure"
seed="${2:-1}"
page=docs/CAPACITY.md

table="$(mktemp)"
trap 'rm -f "$table"' EXIT
status=0
"$measure" capacity --markdown --seed "$seed" >"$table" || status=$?
if [ "$status" -gt 1 ]; then
  exit "$status"
fi
awk -v table="$table" '
  /<!-- begin figures -->/ {
    print
    while ((getline line < table) > 0) print line
    skipping = 1
  }
  /<!-- end figures -->/ { skipping = 0 }
  !skipping && !/<!-- begin figures -->/ { print }
' "$page" >"$page.new"
mv "$page.new" "$page"
exit "$status"

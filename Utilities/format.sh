#!/usr/bin/env bash
# Formats every C++ source in place; with --check only reports differences.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h')
if [ "${1:-}" = "--check" ]; then
  exec clang-format --dry-run --Werror "${sources[@]}"
fi
exec clang-format -i "${sources[@]}"

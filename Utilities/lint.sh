#!/usr/bin/env bash
# Runs clang-tidy over every translation unit of a configured build tree. What
# passed is remembered by the preprocessed text, outside the source tree.
# Usage: Utilities/lint.sh [BUILD_DIR] [FILES...]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
shift || true
if [ "$#" -gt 0 ]; then
  sources=("$@")
else
  mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    'Source/*.cc' 'Tests/*.cc' 'Utilities/*.cc' 'platform/*.cc')
fi
export build
export cache="${HEMLOCKWICK_LINT_CACHE:-${HOME:-/root}/.cache/hemlockwick/lint}"
mkdir -p "$cache"
rules="$(cat .clang-tidy <(clang-tidy --version) | sha256sum)"
export rules

# The compiler's command for a file, without its output.
command_of() {
  grep -F -B 1 "\"file\": \"$PWD/$1\"" "$build/compile_commands.json" |
    sed -n -e 's/^ *"command": "\(.*\)",$/\1/p' | head -n 1 |
    sed -e 's/^[^ ]*ccache //' -e 's/ -o [^ ]* -c / /' -e 's/\\"/"/g'
}

# Prints a key of everything that clang-tidy sees of a file, the same in each
# clone; fails when the build does not compile it.
key_of() {
  local command
  command="$(command_of "$1")"
  [ -n "$command" ] || return 1
  { echo "$rules"; cat "$1"
    eval "$command -E -P -fmacro-prefix-map=$PWD/="; } | sha256sum | cut -d ' ' -f 1
}

lint_file() {
  local key
  key="$(key_of "$1" 2>/dev/null)" || key=""
  if [ -n "$key" ] && [ -e "$cache/$key" ]; then
    return 0
  fi
  clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option \
    --extra-arg=-Wno-gnu-statement-expression "$1"
  if [ -n "$key" ]; then
    : >"$cache/$key"
  fi
}
export -f command_of key_of lint_file

printf '%s\0' "${sources[@]}" |
  xargs -0 -n 1 -P "${HEMLOCKWICK_JOBS:-$(nproc)}" \
    bash -c 'set -euo pipefail; lint_file "$0"'

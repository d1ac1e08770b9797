#!/usr/bin/env bash
# Plays the case once. Exit code: 0 the rule held, 1 it was broken, 2 the case
# could not run. TROUBLE=0 leaves the disruption out; SEED varies the play.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
program="target/review/case-$(basename "$here")"
[ -x target/hemlockwick ] && [ -x "$program" ] || exit 2
folder="$(mktemp -d)" || exit 2
trap '[ -n "${KEEP:-}" ] && cp -r "$folder" "$KEEP"; rm -rf "$folder"' EXIT
FOLDER="$folder" RECORD="$here/record.txt" timeout -k 5 110 "$program"
code=$?
case "$code" in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac

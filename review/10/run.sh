#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/hemlockwick
case=build-review-2/flow_case
if [ ! -x "$program" ] || [ ! -x "$case" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 1 118 "$case" "$program" "$work" "$here/record.txt" "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"

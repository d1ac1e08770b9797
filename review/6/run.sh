#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. Three small deployments run
# beside each other; they differ in the names of the instances, from which their
# random waits are drawn.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=target/hemlockwick
case=build-review-2/stale_case
if [ ! -x "$program" ] || [ ! -x "$case" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
names=(south kauri edge)
pids=()
for name in "${names[@]}"; do
  mkdir "$work/$name"
  timeout -k 1 118 "$case" "$program" "$work/$name" "$work/$name.txt" \
    "${TROUBLE:-1}" "$name-" &
  pids+=("$!")
  sleep 0.3
done
result=0
: >"$here/record.txt"
for index in "${!names[@]}"; do
  wait "${pids[$index]}"
  one=$?
  echo "deployment ${names[$index]}" >>"$here/record.txt"
  cat "$work/${names[$index]}.txt" >>"$here/record.txt"
  if [ "$one" -eq 1 ]; then
    result=1
  elif [ "$one" -gt 1 ] && [ "$result" -eq 0 ]; then
    result=2
  fi
done
exit "$result"

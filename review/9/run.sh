#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of deploy/balancer.toml and review/build-2.sh. Writes record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
player=$root/review/bin/9-pipe
[ -x "$root/build/peatbend" ] || { echo "could not run: build/peatbend is not built"; exit 2; }
[ -x "$player" ] || { echo "could not run: review/build-2.sh has not been run"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# What the player starts ends with it.
timeout -k 2 110 "$player" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2

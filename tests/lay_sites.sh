#!/bin/bash
# Tests scripts/lay-sites ($1) on a copy of its tree: without a kit, with a part of one, and with a whole one.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
mkdir -p "$folder/repository/scripts" "$folder/repository/deploy/sites" "$folder/kit"
cp "$1" "$folder/repository/scripts/lay-sites"
run() { "$folder/repository/scripts/lay-sites" "$folder/kit" > "$folder/out" 2>&1; }
refuses() {
  if run; then echo "taken, though: $1"; exit 1; fi
  grep -qF -- "$1" "$folder/out" || { echo "expected '$1', got: $(cat "$folder/out")"; exit 1; }
  [ -z "$(ls "$folder/repository/deploy/sites")" ] || { echo "files were laid, though: $1"; exit 1; }
}
rmdir "$folder/kit"
refuses "the kit is not there"
mkdir "$folder/kit"
echo one > "$folder/kit/real.json"
echo two > "$folder/kit/wire.json"
refuses "no unlock.txt"
echo three > "$folder/kit/unlock.txt"
run || { cat "$folder/out"; exit 1; }
for file in real.json wire.json unlock.txt; do
  cmp -s "$folder/kit/$file" "$folder/repository/deploy/sites/$file" || { echo "$file was not laid"; exit 1; }
done
echo "lay-sites: refuses and lays as it should"

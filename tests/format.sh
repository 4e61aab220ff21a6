#!/bin/bash
# All sources of $1 are as clang-format of one version, and .clang-format, would write them, and none has more lines than
# a reader should have to hold in mind.
set -euo pipefail
cd "$1"
sources=$(find src include tests -name '*.cpp' -o -name '*.h')
count=$(wc -l <<< "$sources")
[ "$count" -ge 300 ] || { echo "only $count sources found"; exit 1; }
most_lines=400
long=$(xargs wc -l <<< "$sources" | awk -v most="$most_lines" '$2 != "total" && $1 > most')
[ -z "$long" ] || { echo "over $most_lines lines:"; echo "$long"; exit 1; }
xargs clang-format-14 --dry-run --Werror <<< "$sources"
echo "$count sources are formatted, none over $most_lines lines"

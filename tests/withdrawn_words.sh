#!/bin/bash
# Words of the code that docs/design/glossary.md has replaced stand nowhere any more in the project ($1) but in that page,
# the changelog, the journal, and the tables of renamed keys with their tests. Each finished step of the glossary adds
# its words here.
set -euo pipefail
cd "$1"
withdrawn=(
  '[Tt]akeover'
  '[Pp]ool_?([Ll]ist|[Ee]ntry|[Ww]atch|[Nn]ews|[Tt]here|[Cc]hanges)'
  '[Ll]ist_?[Ff]rames'
  'transactions_gone'
  'flows_to_origin'
  'pool\.(silence_ms|line_kb)'
)
allowed='^(CHANGELOG\.md|docs/design/glossary\.md|src/config/keys\.cpp|src/lab/scenario_table\.cpp|tests/net/config_test\.cpp|tests/lab/world_test\.cpp|tests/program\.sh|tests/withdrawn_words\.sh):'
places=(CHANGELOG.md README.md CMakeLists.txt deploy docs include scenarios scripts src tests)
status=0
for word in "${withdrawn[@]}"; do
  # A pattern that finds nothing at all, not even in the glossary or the changelog, would be no check.
  grep -rqE -- "$word" docs/design/glossary.md CHANGELOG.md || { echo "no page tells of '$word'"; status=1; }
  if found=$(grep -rnE -- "$word" "${places[@]}" | grep -vE "$allowed"); then
    echo "withdrawn, see docs/design/glossary.md: '$word'"
    echo "$found"
    status=1
  fi
done
[ "$status" -eq 0 ] && echo "none of ${#withdrawn[@]} withdrawn words is used"
exit "$status"

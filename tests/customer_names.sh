#!/bin/bash
# No name that belongs to one customer stands in the program: the classes, tenants, machine kinds and zones of the site
# files in $1/deploy/sites and of the scenarios in $1/scenarios are searched for, as string literals, in the router's
# packages and the decision module.
set -euo pipefail
root=$1
router=(src/main.cpp include)
for package in admin base compat config front handover member module overload peers discovery protocol rations router stage failover; do
  router+=("src/$package")
done
names=$(awk '
  /^\[/ { wanted = ($0 ~ /^\[\[(class|tenant|tier\.kind)\]\]/) }
  wanted && /^name = "/ { split($0, part, "\""); print part[2] }
  /^zones = \[/ { line = $0; while (match(line, /"[^"]+"/)) { print substr(line, RSTART + 1, RLENGTH - 2); line = substr(line, RSTART + RLENGTH) } }
' "$root"/deploy/sites/*.toml "$root"/scenarios/*.toml | sort -u)
count=$(wc -l <<< "$names")
[ "$count" -ge 20 ] || { echo "only $count names found in the site files"; exit 1; }
status=0
while IFS= read -r name; do
  if (cd "$root" && grep -rnF -- "\"$name\"" "${router[@]}"); then
    echo "the program names '$name', which is one customer's"
    status=1
  fi
done <<< "$names"
[ "$status" -eq 0 ] && echo "none of $count customers' names stands in the program"
exit "$status"

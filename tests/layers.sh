#!/bin/sh
# The packages under src/ ($1) depend one way: a file may include headers of its own package and of those that
# stand before it in this list, and of none behind it.
set -eu
order="base module protocol discovery failover rations compat overload config peers member stage front handover admin router world standin links processes twin lab"
status=0
seen=""
for package in $order; do
  seen="$seen $package"
  [ -d "$1/$package" ] || { echo "no package $package" >&2; exit 1; }
  for used in $(grep -rhoE '^#include "[a-z_]+/' "$1/$package" | sed 's/.*"//; s|/||' | sort -u); do
    case " $seen peatbend " in
      *" $used "*) ;;
      *) echo "src/$package includes from src/$used, which stands behind it" >&2; status=1 ;;
    esac
  done
done
# The module's headers are its own: all others see include/peatbend/balancer.h alone.
if grep -rnE '^#include "module/' "$1" | grep -v "^$1/module/"; then
  echo "a package includes a private header of the module" >&2
  status=1
fi
# Each file that decides is named as such; the settings are none.
for file in "$1"/module/*; do
  case "$file" in */settings.cpp) continue ;; esac
  grep '^policy = ' "$1/../deploy/balancer.toml" | grep -qF "\"src/module/${file##*/}\"" ||
    { echo "$file is not in policy of deploy/balancer.toml" >&2; status=1; }
done
# The laboratory judges the router: it may not use the stages that it judges.
if grep -rnE '^#include "(rations|discovery|member|stage|front|router)/' "$1/world" "$1/standin" "$1/links" "$1/processes" "$1/twin" "$1/lab"; then
  echo "the laboratory includes from the router's stages" >&2
  status=1
fi
exit $status

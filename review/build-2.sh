#!/bin/bash
# Compiles the programs of the cases from 6 on into review/bin/N-NAME: each is a case's client, platform and stand-ins of
# cache servers, origin and discovery in one process, and starts the routers. Needs a C++20 compiler and nothing else.
# The routers are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in {6,7,8,9,10}/*.cpp; do
  [ -e "$source" ] || continue
  [ "$(basename "$source")" != case.cpp ] || continue
  program="bin/$(dirname "$source")-$(basename "$source" .cpp)"
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Istandin-2 "$source" -o "$program" -pthread
  echo "built review/$program"
done

#!/bin/sh
# Builds the stand-ins and clients of the cases, one program a case, into review/bin. Needs g++ alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/case.cpp; do
  [ -f "$case" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I. -o "bin/case${case%/case.cpp}" "$case"
done

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/stand_in/stand_in.cc -o target/review/stand_in.o
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/stand_in.o -o "target/review/case_$name"
done

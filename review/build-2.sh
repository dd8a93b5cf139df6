#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# target/review-2. The node itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand_in_2"
out=../../target/review-2
mkdir -p "$out"
for program in endpoint left_crash late_beats old_start hidden_close; do
  g++ -std=c++20 -O1 -Wall -Wextra mesh.cc "$program.cc" -o "$out/$program" \
    -pthread
done

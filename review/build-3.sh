#!/usr/bin/env bash
# Builds the cases of this review and their stand-ins. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers)
g++ "${flags[@]}" -c review/rig-4.cpp -o "$out/rig-4.o"
for n in 11 12 13 14 15; do
  [ -f "review/$n/case.cpp" ] || continue
  g++ "${flags[@]}" "review/$n/case.cpp" "$out/rig-4.o" -o "$out/case-$n" -lboost_json -lpthread
done

#!/usr/bin/env bash
# Builds the stand-ins of the newest cases into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Wno-psabi)
g++ "${flags[@]}" -c review/rig-3.cpp -o "$out/rig-3.o" &
pids=($!)
cases=()
for source in review/*/case.cpp; do
  grep -q 'rig-3.h' "$source" || continue
  n=$(basename "$(dirname "$source")")
  cases+=("$n")
  g++ "${flags[@]}" -c "$source" -o "$out/case-$n.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for n in "${cases[@]}"; do
  g++ -pthread "$out/case-$n.o" "$out/rig-3.o" -lboost_json -o "$out/case-$n"
done

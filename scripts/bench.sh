#!/usr/bin/env bash
# Runs every benchmark program; results go to build/bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/bench
for it in build/bin/*-bench; do
  [ -x "$it" ] || continue
  echo "== $(basename "$it")"
  # Google Benchmark programs write their figures there; others ignore the variable.
  BENCHMARK_OUT="build/bench/$(basename "$it").json" "$it"
done

#!/usr/bin/env bash
# Runs all tests except those that KNOWN-RED.txt lists in lines that begin with "test: ", and prints the names of these.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
exclude=()
if [ "${#known[@]}" -gt 0 ]; then
  echo "known red, not run (KNOWN-RED.txt):"
  printf '  %s\n' "${known[@]}"
  pattern=$(printf '%s\n' "${known[@]}" | sed 's/[][\.*^$+?(){}|]/\\&/g' | paste -sd'|')
  exclude=(-E "^($pattern)\$")
fi
ctest --test-dir "$build" --output-on-failure -j "${JOBS:-$(nproc)}" "${exclude[@]}"

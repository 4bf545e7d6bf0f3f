#!/usr/bin/env bash
# Builds the stand-ins of each case into its folder, as review/N/case. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
for it in [1-5]; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$it/case.cpp" rig.cpp -o "$it/case"
done

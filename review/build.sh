#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/rig/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p bin
for it in case_*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$it" rig.cpp -o "bin/${it%.cpp}"
done

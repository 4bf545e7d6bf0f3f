#!/usr/bin/env bash
# Measures the control overhead without requests at several sizes: processor time and memory of each catkind, bytes on loopback
# and platform calls per second. Prints one line for each size; docs/CAPACITY.md derives its slopes from them.
# Usage: scripts/measure_control.sh [seconds per size]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
export CATKIN_BASE_PORT=${CATKIN_BASE_PORT:-24000} CATKIN_RUN_DIR=build/run-measure
ticks=$(getconf CLK_TCK)

# Sum of user and system time of a process, in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
loopback_bytes() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }
platform_calls() { curl -sf "http://127.0.0.1:$CATKIN_BASE_PORT/control/stats" | jq '.get + .list + .put + .erase + .watch + .nodes'; }
platform_writes() { curl -sf "http://127.0.0.1:$CATKIN_BASE_PORT/control/stats" | jq '.put + .erase'; }

measure() {
  local hosts=$1 factor=$2 it planner bytes calls writes
  export CATKIN_HOSTS_COUNT=$hosts CATKIN_ENGINE_FACTOR=$factor
  scripts/cluster.sh start hivatal >/dev/null
  sleep 5
  declare -A before
  for it in "$CATKIN_RUN_DIR"/host-*.pid; do before[$it]=$(cpu_ticks "$(cat "$it")"); done
  bytes=$(loopback_bytes)
  calls=$(platform_calls)
  writes=$(platform_writes)
  sleep "$seconds"
  bytes=$(($(loopback_bytes) - bytes))
  calls=$(($(platform_calls) - calls))
  writes=$(($(platform_writes) - writes))
  planner=$(CATKIN_OPERATOR_KEY=example-operator-key build/bin/catkinctl \
    --hosts "127.0.0.1:$((CATKIN_BASE_PORT + 501))" show hosts --output json | jq -r '.hosts[] | select(.planner) | .host')
  local pid n others=0 planner_ticks=0 memory=0 planner_memory=0
  for it in "$CATKIN_RUN_DIR"/host-*.pid; do
    pid=$(cat "$it")
    n=$(($(cpu_ticks "$pid") - ${before[$it]}))
    if [ "$(basename "$it" .pid)" = "$planner" ]; then
      planner_ticks=$n
      planner_memory=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
    else
      others=$((others + n))
      memory=$((memory + $(awk '/VmRSS/ {print $2}' "/proc/$pid/status")))
    fi
  done
  awk -v h="$hosts" -v e=$((15 * factor)) -v s="$seconds" -v t="$ticks" -v p="$planner_ticks" -v o="$others" \
    -v m="$memory" -v pm="$planner_memory" -v b="$bytes" -v c="$calls" -v w="$writes" 'BEGIN {
      printf "hosts %3d engines %3d  planner %.2f%% core %.1f MB  other host %.2f%% core %.1f MB  loopback %.1f kB/s  platform %.1f calls/s %.1f writes/s\n",
        h, e, 100 * p / t / s, pm / 1024, 100 * o / t / s / (h - 1), m / 1024 / (h - 1), b / 1000 / s, c / s, w / s }'
  scripts/cluster.sh stop
  sleep 1
}

trap 'scripts/cluster.sh stop' EXIT
for size in "4 1" "8 1" "16 1" "32 1" "8 3" "8 6"; do
  read -r hosts factor <<<"$size"
  measure "$hosts" "$factor"
done

#!/usr/bin/env bash
# Starts or stops a whole system on loopback: stand-ins, endpoints and hosts, all as separate processes.
#   scripts/cluster.sh start [hivatal|confraternita]
#   scripts/cluster.sh stop
# CATKIN_RUN_DIR keeps process ids and logs (default build/run); CATKIN_HOSTS_COUNT is the number of hosts;
# CATKIN_ENGINE_FACTOR multiplies the engines (at most 100 in all); CATKIN_BASE_PORT is the first of 800 ports.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/ports.sh
. scripts/ports.sh
bin=build/bin
run=${CATKIN_RUN_DIR:-build/run}
base=${CATKIN_BASE_PORT:-21000}
hosts=${CATKIN_HOSTS_COUNT:-8}
factor=${CATKIN_ENGINE_FACTOR:-1}
port_count=800
export CATKIN_OPERATOR_KEY=${CATKIN_OPERATOR_KEY:-example-operator-key}

platform=127.0.0.1:$base
weights=127.0.0.1:$((base + 1))

# Starts a program in the background and records its process id under a name.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  echo "$!" >"$run/$name.pid"
}

# Stops all programs of this script and waits for their end. A new cluster would otherwise read the lists of the old hosts.
stop_all() {
  local it pid i
  local -a ending=()
  for it in "$run"/*.pid; do
    [ -e "$it" ] || continue
    pid=$(cat "$it")
    # A process id may have been given to another program since: check the program's directory.
    case "$(readlink "/proc/$pid/exe" 2>/dev/null || true)" in
      "$PWD/$bin/"*)
        kill "$pid" 2>/dev/null || true
        ending+=("$pid")
        ;;
    esac
    rm -f "$it"
  done
  for pid in "${ending[@]}"; do
    for ((i = 0; i < 100; ++i)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
  done
}

wait_for() {
  local what=$1 i
  shift
  for ((i = 0; i < 300; ++i)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out: $what" >&2
  return 1
}

shape_hivatal() {
  centres=(buda-a pest-b obuda-c)
  groups=("drafting 12" "dispatch 3")
  services=("stock stock" "deliveries deliveries")
}

shape_confraternita() {
  centres=(trapani marsala sciacca erice)
  groups=("drafting 9" "office 4")
  services=("permits permits" "closures closures")
}

# Adds an entry to the list of nodes.
node() {
  nodes+=("{\"kind\":\"$1\",\"name\":\"$2\",\"service\":\"$3\",\"address\":\"$4\",\"data_centre\":\"$5\",\"liveness\":\"live\"}")
}

start_engines() {
  local n=0 group count i name port options
  for it in "${groups[@]}"; do
    read -r group count <<<"$it"
    for ((i = 1; i <= count * factor; ++i)); do
      name=$group-$i
      port=$((base + 100 + n))
      options=(--name "$name" --listen "127.0.0.1:$port" --weights "$weights" --memory-gb 96
        --generation $((n % 3 + 1)) --load-overhead-ms 300 --token-ms 5)
      # Every fifth engine ignores fencing tokens.
      if ((n % 5 == 4)); then options+=(--ignore-fencing); fi
      start "$name" "$bin/catkin-engine" "${options[@]}"
      node engine "$name" "" "127.0.0.1:$port" "${centres[n % ${#centres[@]}]}"
      n=$((n + 1))
    done
  done
}

start_services() {
  local n=0 name service port
  for it in "${services[@]}"; do
    read -r name service <<<"$it"
    port=$((base + 200 + n))
    start "$name" "$bin/catkin-service" --name "$service" --listen "127.0.0.1:$port"
    node service "$name-1" "$service" "127.0.0.1:$port" "${centres[n % ${#centres[@]}]}"
    n=$((n + 1))
  done
}

# start_host N: one host daemon; its peers are all the others.
start_host() {
  local n=$1 i peers=""
  for ((i = 1; i <= hosts; ++i)); do
    [ "$i" -eq "$n" ] || peers+="${peers:+,}127.0.0.1:$((base + 400 + i))"
  done
  start "host-$n" "$bin/catkind" --host "host-$n" --data-centre "${centres[n % ${#centres[@]}]}" \
    --listen "127.0.0.1:$((base + 300 + n))" --peer-listen "127.0.0.1:$((base + 400 + n))" \
    --operator-listen "127.0.0.1:$((base + 500 + n))" --platform "$platform" --peers "$peers"
}

join() { local IFS=,; echo "$*"; }

start_all() {
  local i nodes=()
  mkdir -p "$run"
  stop_all
  reserve_ports "$base" "$port_count"
  "shape_$1"
  start weights "$bin/catkin-weights" --listen "$weights" --bytes-per-second 2e10
  start platform "$bin/catkin-platform" --listen "$platform" --node-lag-ms 1000
  start_engines
  start_services
  for ((i = 1; i <= hosts; ++i)); do
    node host "host-$i" "" "127.0.0.1:$((base + 300 + i))" "${centres[i % ${#centres[@]}]}"
  done
  wait_for platform curl -sf "http://$platform/nodes"
  curl -sf -X POST "http://$platform/control/nodes" -d "{\"nodes\":[$(join "${nodes[@]}")]}" >/dev/null
  for ((i = 1; i <= hosts; ++i)); do start_host "$i"; done
  for ((i = 1; i <= hosts; ++i)); do
    wait_for "host-$i" curl -sf "http://127.0.0.1:$((base + 300 + i))/healthz"
  done
  local ctl=("$bin/catkinctl" --hosts "127.0.0.1:$((base + 501)),127.0.0.1:$((base + 502))")
  wait_for planner "${ctl[@]}" show hosts
  "${ctl[@]}" apply plans "examples/$1/plans.json"
  "${ctl[@]}" apply uses "examples/$1/uses.json" --wait
  for ((i = 1; i <= hosts; ++i)); do
    wait_for "host-$i ready" curl -sf "http://127.0.0.1:$((base + 300 + i))/readyz"
  done
  echo "callers:   http://127.0.0.1:$((base + 301)) ... $((base + 300 + hosts))"
  echo "operators: 127.0.0.1:$((base + 501)) ... $((base + 500 + hosts))"
  echo "platform:  http://$platform"
}

case "${1:-}" in
  start) start_all "${2:-hivatal}" ;;
  stop) stop_all ;;
  start-host)
    "shape_${3:-hivatal}"
    start_host "$2"
    ;;
  *)
    sed -n '2,7p' "$0"
    exit 1
    ;;
esac

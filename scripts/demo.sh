#!/usr/bin/env bash
# Runs a whole system on loopback as Hivatal deploys it (8 hosts, 15 engines, 2 services), sends requests through it, edits a
# list, drains an endpoint and stops a host under load. Exits 0 only if all checks pass.
# shellcheck disable=SC2317  # functions are called by name through check
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/bin
base=${CATKIN_BASE_PORT:-21000}
export CATKIN_BASE_PORT=$base CATKIN_RUN_DIR=build/run
export CATKIN_OPERATOR_KEY=example-operator-key
export CATKIN_OPERATOR_HOSTS=127.0.0.1:$((base + 501)),127.0.0.1:$((base + 502))
callers=127.0.0.1:$((base + 301)),127.0.0.1:$((base + 302)),127.0.0.1:$((base + 303))
work=build/demo
mkdir -p "$work"
failed=0

check() {
  local what=$1
  shift
  if "$@"; then
    printf '  held    %s\n' "$what"
  else
    printf '  FAILED  %s\n' "$what"
    failed=1
  fi
}

# load PLAN SEED SECONDS [flags]: open-loop load with a plan's key; its report goes to the terminal.
load() {
  local plan=$1 seed=$2 seconds=$3
  shift 3
  CATKIN_KEY=example-key-$plan "$bin/catkinload" --hosts "$callers" --workload hivatal --seed "$seed" \
    --duration-s "$seconds" "$@"
}

engine_ports() { seq $((base + 100)) $((base + 114)); }

no_engine_faults() {
  local port n
  for port in $(engine_ports); do
    n=$(curl -sf "http://127.0.0.1:$port/engine/faults" | jq '.overcommits')
    [ "$n" = 0 ] || return 1
  done
}

each_delivery_ran_once() {
  local runs
  runs=$(curl -sf "http://127.0.0.1:$((base + 201))/control/runs")
  echo "          deliveries: $(jq '[.runs[]] | length' <<<"$runs") keys, runs per key at most $(jq '[.runs[]] | max // 0' <<<"$runs")"
  [ "$(jq '[.runs[]] | length > 0 and max == 1' <<<"$runs")" = true ]
}

raise_grant() {
  "$bin/catkinctl" get plans 2>/dev/null |
    jq '(.plans[] | select(.name == "caretakers") | .grant.concurrency) = 30' >"$work/plans.json"
  "$bin/catkinctl" diff plans "$work/plans.json" | sed 's/^/          /'
  "$bin/catkinctl" apply plans "$work/plans.json" --wait | sed 's/^/          /'
  [ "$("$bin/catkinctl" show plans --output json | jq '.plans[] | select(.plan == "caretakers") | .concurrency_granted')" = 30 ]
}

stale_edit_is_refused() {
  ! "$bin/catkinctl" apply plans "$work/plans.json" --revision 1 2>"$work/conflict.txt" &&
    grep -q 'another operator was first' "$work/conflict.txt"
}

# Number of requests that the endpoint has received, from the decision logs of all hosts.
routed_to() {
  cat "$CATKIN_RUN_DIR"/host-*.log | grep '"kind":"route"' | grep -c "\"chosen\":\"$1\"" || true
}

drain_holds() {
  local endpoint before after
  endpoint=$("$bin/catkinctl" show replicas --output json |
    jq -r '[.replicas[] | select(.state == "loaded" and .model == "hygiene-answers-14b")][0].endpoint')
  echo "          draining $endpoint, which serves hygiene-answers-14b"
  "$bin/catkinctl" drain endpoint "$endpoint" >/dev/null
  sleep 3
  before=$(routed_to "$endpoint")
  load caretakers 5 5 --rate 20 --models hygiene-answers-14b --confirm-service none --output json >"$work/drain.json" || return 1
  echo "          while draining: $(jq -c '.outcomes.completion' "$work/drain.json")"
  # The plan's grant has room for the moved model, so that no request needs to be refused.
  [ "$(jq '.outcomes.completion.not_run' "$work/drain.json")" = 0 ] || return 1
  after=$(routed_to "$endpoint")
  "$bin/catkinctl" drain endpoint "$endpoint" --undo >/dev/null
  [ "$before" -gt 0 ] && [ "$before" = "$after" ]
}

stop_under_load() {
  local pid
  pid=$(cat "$CATKIN_RUN_DIR/host-8.pid")
  load caretakers 6 6 --rate 30 --models hygiene-answers-14b --confirm-service none &
  local loader=$!
  sleep 2
  kill -TERM "$pid"
  wait "$loader"
}

trap 'scripts/cluster.sh stop' EXIT
echo "starting 8 hosts, 15 engines, 2 services, platform and weight store"
scripts/cluster.sh start hivatal
# The list of nodes is one second old, and hosts read it every two seconds.
sleep 3

echo "caretakers' questions, cold and warm, streamed whole; stock look-ups"
check "every answer whole and to its own request" \
  load caretakers 1 8 --rate 25 --models hygiene-answers-14b,caretaker-letters-13b --confirm-service none
echo "deliveries, each sent twice with the same key"
check "every confirmation answered" \
  load drivers 2 6 --rate 15 --models round-summary-3b
check "each delivery ran exactly once" each_delivery_ran_once
echo "an edit of a list"
check "accepted and in force on every host" raise_grant
check "an edit on an old revision is refused" stale_edit_is_refused
echo "a drain"
check "drained endpoint got no new work, requests went on elsewhere" drain_holds
echo "a planned stop of a host under load"
check "no request was cut off" stop_under_load
check "no accelerator memory overcommitted" no_engine_faults
"$bin/catkinctl" show plans
if [ "$failed" = 0 ]; then echo "demo: all held"; else echo "demo: FAILED"; fi
exit "$failed"

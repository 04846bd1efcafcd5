#!/usr/bin/env bash
# Runs a deployment as real processes under load, kills, pauses, stops and cuts
# them, lets the stand-ins fail, and verifies the recorded history.
#
#   scripts/chaos.sh NAME SEED [FLAGS OF birchwood load...]
#
# The seed fixes the load, the order of the disturbances and the nodes that they
# hit. CHAOS_ROUNDS (default 1) is how often each disturbance comes.
# Prints the load's result and the verdict; exits with 1 when a call was left
# unanswered, answered wrongly or run twice, or when a promise was broken.
set -euo pipefail

[ $# -ge 2 ] || { sed -n '2,10s/^# \{0,1\}//p' "$0"; exit 2; }
name=$1
seed=$2
shift 2

root=$(cd "$(dirname "$0")/.." && pwd)
deployment=$root/scripts/run-deployment.sh
config=${BIRCHWOOD_CONFIG:-$root/config/$name}
run=${BIRCHWOOD_RUN:-${TMPDIR:-/tmp}/birchwood-$name}
binary=$run/birchwood
control=$(sed -n 's/^  control: *//p' "$config/standin.yaml")
zones=($(sed -n 's/^  - {name: \([a-z0-9-]*\),.*/\1/p' "$config/standin.yaml"))
nodes=($(basename -s .yaml "$config"/node-*.yaml))
RANDOM=$seed

# say TEXT tells what happens, with the time.
say() { echo "$(date +%T) $*" >&2; }

# note EVENT adds an event to the history.
note() { echo "{\"at\":\"$(date -u +%FT%T.%NZ)\",$1}" >>"$run/chaos.jsonl"; }

# address NODE is where callers reach it, its name in the history.
address() { sed -n 's/^  listen: *//p' "$config/$1.yaml"; }

# fault NODE KIND BEGIN notes a disturbance of a node.
fault() { note "\"fault\":{\"kind\":\"$2\",\"machine\":\"$(address "$1")\",\"begin\":$3}"; }

signal() { kill "-$2" "$(cat "$run/$1.pid")"; }

# crash NODE SECONDS kills a node and starts it again.
crash() {
  say "SIGKILL $1, back in $2 s"
  fault "$1" down true
  signal "$1" KILL
  sleep "$2"
  "$deployment" "$name" start-node "$1"
  fault "$1" down false
}

# freeze NODE SECONDS pauses a node.
freeze() {
  say "SIGSTOP $1 for $2 s"
  fault "$1" pause true
  signal "$1" STOP
  sleep "$2"
  signal "$1" CONT
  fault "$1" pause false
}

# replace NODE stops a node as planned and starts it again.
replace() {
  say "planned stop of $1"
  note "\"stop\":{\"machine\":\"$(address "$1")\"}"
  signal "$1" TERM
  while kill -0 "$(cat "$run/$1.pid")" 2>/dev/null; do sleep 0.2; done
  note "\"stop\":{\"machine\":\"$(address "$1")\",\"done\":true}"
  say "$1 has stopped"
  "$deployment" "$name" start-node "$1"
}

# standins_fail KIND SECONDS FAULT lets the stand-ins fail for a while.
standins_fail() {
  say "for $2 s: $3"
  note "\"fault\":{\"kind\":\"$1\",\"begin\":true}"
  curl -sf -m 5 -o /dev/null -X POST "http://$control/faults" -d "{\"faults\":[$3]}"
  sleep "$2"
  curl -sf -m 5 -o /dev/null -X DELETE "http://$control/faults"
  note "\"fault\":{\"kind\":\"$1\",\"begin\":false}"
}

# crash_without_log NODE kills a node while the log service is down: its
# successors can only go on once the log answers again.
crash_without_log() {
  say "SIGKILL $1 while the log service is down"
  fault "$1" down true
  curl -sf -m 5 -o /dev/null -X POST "http://$control/faults" -d '{"faults":[{"name":"gone","kind":"down","target":"log"}]}'
  sleep 2
  signal "$1" KILL
  sleep 4
  curl -sf -m 5 -o /dev/null -X DELETE "http://$control/faults"
  "$deployment" "$name" start-node "$1"
  fault "$1" down false
}

# any_node prints a node at random into the variable of that name.
any_node() { node=${nodes[RANDOM % ${#nodes[@]}]}; }

# disturb KIND lets one thing go wrong, and waits until it is over.
disturb() {
  any_node
  local first=$((RANDOM % ${#zones[@]}))
  local other=$(((first + 1 + RANDOM % (${#zones[@]} - 1)) % ${#zones[@]}))
  case $1 in
    crash) crash "$node" 12 ;;
    bounce) crash "$node" 0.2 ;;
    freeze) freeze "$node" 8 ;;
    replace) replace "$node" ;;
    lost) standins_fail store 5 '{"name":"lost","kind":"answer_lost","target":"log","probability":0.3}' ;;
    down) standins_fail store 10 '{"name":"down","kind":"down","target":"log"}' ;;
    slow) standins_fail store 5 '{"name":"slow","kind":"slow","target":"log","delay_ms":800}' ;;
    cut) standins_fail cut 6 "{\"name\":\"cut\",\"kind\":\"cut\",\"from\":\"${zones[first]}\",\"to\":\"${zones[other]}\",\"two_way\":true}" ;;
    backends) standins_fail cut 5 '{"name":"backends","kind":"answer_lost","target":"*","probability":0.1}' ;;
    crash_without_log) crash_without_log "$node" ;;
  esac
}

# storm lets every disturbance come in a random order.
storm() {
  local kind round
  for round in $(seq 1 "${CHAOS_ROUNDS:-1}"); do
    local kinds=(${CHAOS_KINDS:-crash bounce freeze replace lost down slow cut backends crash_without_log})
    while [ ${#kinds[@]} -gt 0 ]; do
      local at=$((RANDOM % ${#kinds[@]}))
      kind=${kinds[at]}
      unset "kinds[at]"
      kinds=("${kinds[@]}")
      disturb "$kind"
      sleep 2
    done
  done
}

# end stops whatever still runs.
end() {
  [ -z "$load" ] || kill "$load" 2>/dev/null || true
  for each in "${nodes[@]}"; do
    [ -f "$run/$each.pid" ] && signal "$each" CONT 2>/dev/null || true
  done
  "$deployment" "$name" stop
}

rm -f "$run/load.jsonl" "$run/chaos.jsonl" "$run/standin.jsonl"
"$deployment" "$name" start
load=
trap 'end' EXIT
"$deployment" "$name" load --seed "$seed" --record "$run/load.jsonl" "$@" &
load=$!
sleep 5
storm
status=0
wait "$load" || status=$?
load=
"$deployment" "$name" stop
trap - EXIT
say "verifying"
"$binary" verify "$run/load.jsonl" "$run/standin.jsonl" "$run/chaos.jsonl" || status=1
exit $status

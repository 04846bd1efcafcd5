#!/usr/bin/env bash
# Runs a deployment as real processes under load, kills, pauses, stops and cuts
# them, lets the stand-ins fail, and verifies the recorded history.
#
#   scripts/chaos.sh NAME [FLAGS OF birchwood load...]
#
# Prints the load's result and the verdict; exits with 1 when a call was left
# unanswered, answered wrongly or run twice, or when a promise was broken.
set -euo pipefail

[ $# -ge 1 ] || { sed -n '2,8s/^# \{0,1\}//p' "$0"; exit 2; }
name=$1
shift

root=$(cd "$(dirname "$0")/.." && pwd)
deployment=$root/scripts/run-deployment.sh
config=${BIRCHWOOD_CONFIG:-$root/config/$name}
run=${BIRCHWOOD_RUN:-${TMPDIR:-/tmp}/birchwood-$name}
binary=$run/birchwood
control=$(sed -n 's/^  control: *//p' "$config/standin.yaml")
zones=($(sed -n 's/^  - {name: \([a-z0-9-]*\),.*/\1/p' "$config/standin.yaml"))

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
  "$deployment" "$name" start-node "$1"
}

# standins_fail SECONDS FAULT lets the stand-ins fail for a while.
standins_fail() {
  say "for $1 s: $2"
  note '"fault":{"kind":"store","begin":true}'
  curl -sf -o /dev/null -X POST "http://$control/faults" -d "{\"faults\":[$2]}"
  sleep "$1"
  curl -sf -o /dev/null -X DELETE "http://$control/faults"
  note '"fault":{"kind":"store","begin":false}'
}

# storm goes through every disturbance once.
storm() {
  crash node-1 4
  freeze node-2 6
  standins_fail 5 '{"name":"lost","kind":"answer_lost","target":"log","probability":0.3}'
  replace node-3
  standins_fail 12 '{"name":"down","kind":"down","target":"log"}'
  standins_fail 6 "{\"name\":\"cut\",\"kind\":\"cut\",\"from\":\"${zones[0]}\",\"to\":\"${zones[1]}\",\"two_way\":true}"
  standins_fail 5 '{"name":"slow","kind":"slow","target":"log","delay_ms":800}'
  crash node-2 1
  crash node-1 1
}

rm -rf "$run/load.jsonl" "$run/chaos.jsonl"
"$deployment" "$name" start
trap '"$deployment" "$name" stop' EXIT
"$deployment" "$name" load --record "$run/load.jsonl" "$@" &
load=$!
sleep 5
storm
status=0
wait "$load" || status=$?
"$deployment" "$name" stop
trap - EXIT
say "verifying"
"$binary" verify "$run/load.jsonl" "$run/standin.jsonl" "$run/chaos.jsonl" || status=1
exit $status

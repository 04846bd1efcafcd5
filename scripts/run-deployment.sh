#!/usr/bin/env bash
# Starts a deployment of config/ as real processes on loopback, loads it, and
# stops it by the processes' ids.
#
#   scripts/run-deployment.sh NAME start
#   scripts/run-deployment.sh NAME start-node node-1
#   scripts/run-deployment.sh NAME load [FLAGS OF birchwood load...]
#   scripts/run-deployment.sh NAME stop
#
# The ids and logs stand in ${BIRCHWOOD_RUN:-${TMPDIR:-/tmp}/birchwood-NAME}, the
# settings in ${BIRCHWOOD_CONFIG:-config/NAME}.
set -euo pipefail

usage() {
  sed -n '2,11s/^# \{0,1\}//p' "$0"
  exit 2
}

[ $# -ge 2 ] || usage
name=$1
verb=$2
shift 2

root=$(cd "$(dirname "$0")/.." && pwd)
config=${BIRCHWOOD_CONFIG:-$root/config/$name}
[ -f "$config/standin.yaml" ] || { echo "no deployment $name in $config" >&2; exit 2; }
run=${BIRCHWOOD_RUN:-${TMPDIR:-/tmp}/birchwood-$name}
binary=$run/birchwood

# node_value FILE KEY prints a value of a node's settings file.
node_value() {
  sed -n "s/^  $2: *//p" "$1" | head -n 1
}

# launch NAME ARGUMENTS... starts one process and notes its id.
launch() {
  local process=$1
  shift
  "$binary" "$@" >>"$run/$process.log" 2>&1 &
  echo $! >"$run/$process.pid"
}

# await NAME ADDRESS PATH waits until the process answers with success.
await() {
  for _ in $(seq 1 150); do
    if ! kill -0 "$(cat "$run/$1.pid")" 2>/dev/null; then
      echo "$1 ended: $(tail -n 1 "$run/$1.log")" >&2
      exit 1
    fi
    if curl -sf -m 2 -o /dev/null "http://$2$3"; then
      return
    fi
    sleep 0.2
  done
  echo "$1 does not answer at $2$3; see the logs in $run" >&2
  exit 1
}

start() {
  mkdir -p "$run"
  if compgen -G "$run/*.pid" >/dev/null; then
    echo "$name runs already; stop it first" >&2
    exit 1
  fi
  (cd "$root" && go build -o "$binary" ./cmd/birchwood)
  launch standin standin --config "$config/standin.yaml" --record "$run/standin.jsonl"
  await standin "$(node_value "$config/standin.yaml" platform)" /machines
  for file in "$config"/node-*.yaml; do
    launch "$(basename "$file" .yaml)" serve --config "$file"
  done
  for file in "$config"/node-*.yaml; do
    await "$(basename "$file" .yaml)" "$(node_value "$file" operator)" /readyz
  done
  echo "$name runs; ids and logs in $run"
}

# start_node NAME starts one node again and waits until it is ready.
start_node() {
  launch "$1" serve --config "$config/$1.yaml"
  await "$1" "$(node_value "$config/$1.yaml" operator)" /readyz
}

# stop_process FILE asks one process to stop and waits for its end.
stop_process() {
  local id
  id=$(cat "$1")
  kill -TERM "$id" 2>/dev/null || true
  for _ in $(seq 1 300); do
    kill -0 "$id" 2>/dev/null || break
    sleep 0.2
  done
  if kill -0 "$id" 2>/dev/null; then
    echo "process $id ($(basename "$1" .pid)) did not stop in 60 s; killed" >&2
    kill -KILL "$id"
  fi
  rm -f "$1"
}

stop() {
  local file
  for file in "$run"/node-*.pid "$run"/standin.pid; do
    [ -f "$file" ] && stop_process "$file"
  done
  echo "$name stopped"
}

# addresses KEY prints that address of every node, joined by commas.
addresses() {
  local file
  for file in "$config"/node-*.yaml; do
    node_value "$file" "$1"
  done | paste -sd, -
}

# backends KIND prints the addresses of the stand-ins whose id begins with KIND.
backends() {
  sed -n "s/^ *- {id: $1[^,]*,.*address: \([0-9.:]*\).*/\1/p" "$config/standin.yaml" | paste -sd, -
}

case $verb in
  start) start ;;
  start-node) start_node "$1" ;;
  stop) stop ;;
  load)
    exec "$binary" load --deployment "$name" \
      --target "$(addresses listen)" --operator "$(addresses operator)" \
      --engine "$(backends engine)" --tool-service "$(backends "[dc][eo]")" "$@"
    ;;
  *) usage ;;
esac

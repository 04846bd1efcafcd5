#!/usr/bin/env bash
# A whole agent program against `birchwood dev`, in curl and jq: it asks a
# model, looks at a logger, asks again with what it found, records a notice
# that must happen once, and ends. Run it twice with the same key: the second
# run gets the same answers, and the notice is not sent again.
#
#   examples/agent.sh ADDRESS KEY        (ADDRESS as `birchwood dev` prints it)
set -euo pipefail
address=$1
key=$2
token=${BIRCHWOOD_CALLER_TOKEN:-dev-caller-token}

post() {
  curl -sS --fail-with-body -H "Authorization: Bearer $token" -d "$2" "http://$address/v1/$1"
}

program=$(post programs "{\"branch\":\"demo\",\"key\":\"$key\"}" | jq -r .id)

model() {
  post "programs/$program/calls" "$(jq -n --arg key "$1" --arg input "$2" \
    '{key: $key, kind: "model", model: "birch-8b", input: $input, max_output_tokens: 60}')" | jq -r .output
}

tool() {
  post "programs/$program/calls" "$(jq -n --arg key "$1" --arg tool "$2" --arg input "$3" --argjson repeatable "$4" \
    '{key: $key, kind: "tool", tool: $tool, input: $input, repeatable: $repeatable}')" | jq -r .output
}

plan=$(model plan "Pallet 7 is warm. What do we check first? ")
reading=$(tool reading read_logger "pallet 7" true)
advice=$(model advice "The plan was: $plan The logger says: $reading What now? ")
notice=$(tool notice record_seal_break "pallet 7" false)
post "programs/$program/end" '{}' > /dev/null
printf 'program %s\nadvice  %s\nnotice  %s\n' "$program" "$advice" "$notice"

#!/usr/bin/env bash
# Plays the case up to three times, each time with nodes of its own, until the rule is broken.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-standin-2 ] && [ -x target/birchwood-edge ] || exit 2
part=$(mktemp) || exit 2
trap 'rm -f "$part"' EXIT
: > "$here/record.txt" || exit 2
for play in 1 2 3; do
  CASE=stale-list RECORD="$part" TROUBLE="${TROUBLE:-1}" target/review-standin-2
  status=$?
  { echo "play $play"; cat "$part"; } >> "$here/record.txt"
  case $status in 0) ;; 1) exit 1 ;; *) exit 2 ;; esac
done
exit 0

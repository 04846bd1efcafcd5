#!/usr/bin/env python3
"""Tells from the logs of a day where its requests were lost.

    scripts/day_table.py LOG [FROM TO]

LOG is what `fleetbench run SITE DAY --log all` printed; FROM and TO bound the seconds
that are looked at. It prints

- answers by two seconds: how many turns and calls were answered, and those that were
  not, by status and reason;
- how turns spread over replicas and nodes, and where those began late whose first
  event took more than half a second;
- the partitions whose turns were refused, with the nodes that were asked, and when
  the partition changed its owner.
"""

import collections
import json
import sys

# SLOW_MS is from when on the first event of a turn counts as late, in milliseconds:
# a turn on an idle replica begins within 50 to 100.
SLOW_MS = 500
# WINDOW_S is the width of a row of the table, in seconds, as in the bench's own.
WINDOW_S = 2
MOST_ROWS = 8
REFUSED = ("no owner at present", "answered stalled")


def read(path, begin, end):
    """Yields (second, entry) of the log's structured lines."""
    with open(path, errors="replace") as lines:
        for line in lines:
            parts = line.split(None, 2)
            if len(parts) < 3 or not parts[2].startswith("{"):
                continue
            try:
                second, entry = float(parts[0]), json.loads(parts[2])
            except ValueError:
                continue
            if begin <= second < end:
                yield second, entry


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


def is_turn(entry):
    return entry.get("most", 0) > 0


def print_answers(requests):
    windows = collections.defaultdict(collections.Counter)
    for second, entry in requests:
        window = int(second // WINDOW_S) * WINDOW_S
        if entry["status"] == 200:
            windows[window]["turns" if is_turn(entry) else "calls"] += 1
        else:
            windows[window][f"{entry['status']} {entry['reason'][:48]}"] += 1
    print("second  turns  calls  not served")
    for window, counts in sorted(windows.items()):
        others = [(count, name) for name, count in counts.items() if name not in ("turns", "calls")]
        listed = "; ".join(f"{count} x {name}" for count, name in sorted(others, reverse=True)[:4])
        print(f"{window:6}  {counts['turns']:5}  {counts['calls']:5}  {listed}")


def print_spread(requests):
    turns = [entry for _, entry in requests if is_turn(entry) and entry["status"] == 200]
    if not turns:
        return
    first = [entry["first"] for entry in turns]
    print(f"\n{len(turns)} turns; first event after "
          + ", ".join(f"{quantile(first, share):.0f} ms (p{share * 100:g})" for share in (0.5, 0.9, 0.99))
          + f"; expected prefill {sum(entry['missing'] for entry in turns) / len(turns):.0f} tokens, "
          + f"load {sum(entry['load'] for entry in turns) / len(turns):.2f} requests")
    late = [entry for entry in turns if entry["first"] > SLOW_MS]
    for field in ("replica", "node", "owner"):
        counts = collections.Counter(entry.get(field, "") for entry in turns)
        mean = len(turns) / len(counts)
        busiest = counts.most_common(1)[0]
        slow = collections.Counter(entry.get(field, "") for entry in late).most_common(MOST_ROWS)
        print(f"by {field}: {len(counts)}, busiest {busiest[0]} with {busiest[1] / mean:.1f} times the mean; "
              f"{len(late)} late: " + ", ".join(f"{name} {count}" for name, count in slow))


def print_owners(requests, changes):
    refused = collections.Counter()
    asked = collections.defaultdict(collections.Counter)
    for _, entry in requests:
        if any(reason in entry["reason"] for reason in REFUSED) and "partition" in entry:
            refused[entry["partition"]] += 1
            asked[entry["partition"]][entry["owner"]] += 1
    for partition, count in refused.most_common(MOST_ROWS):
        nodes = ", ".join(f"{name} {number}" for name, number in asked[partition].most_common(3))
        print(f"\npartition {partition}: {count} turns refused; asked last: {nodes}")
        for second, entry in changes:
            if entry["partition"] == partition:
                print(f"  {second:8.2f} {entry['node']} {'owns' if entry['owned'] else 'lost'}: {entry['reason']}")


def main():
    if len(sys.argv) not in (2, 4):
        sys.exit(__doc__)
    begin, end = (float(sys.argv[2]), float(sys.argv[3])) if len(sys.argv) == 4 else (float("-inf"), float("inf"))
    requests, changes = [], []
    for second, entry in read(sys.argv[1], begin, end):
        if entry.get("message") == "request: ended":
            requests.append((second, entry))
        elif entry.get("message") == "ledger: ownership changed":
            changes.append((second, entry))
    if not requests:
        sys.exit(f"{sys.argv[1]}: no line of a request that ended; was it played with --log all?")
    print_answers(requests)
    print_spread(requests)
    print_owners(requests, changes)


if __name__ == "__main__":
    main()

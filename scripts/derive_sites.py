#!/usr/bin/env python3
"""Derives deployments that were not seen from a site file of the users' bench.

    scripts/derive_sites.py SITE OUT_DIR

Writes variants of SITE to OUT_DIR, which must lie outside the repository: the
users' files are not copied into it. Each variant changes one thing about the
machines, the services or the bounds.
"""

import pathlib
import re
import shutil
import sys


def scale_machines(text, count):
    """Sets the machines of each zone to count."""
    return re.sub(r"(class = \"front\"[^\n]*?count = )\d+", rf"\g<1>{count}", text)


def one_replica_of_plain_service(text):
    """Leaves the plain service one replica in each of its first two zones, with more places."""
    def shrink(match):
        line = match.group(0)
        if "model = " in line:
            return line
        servers = re.findall(r"\{ zone = \"[^\"]+\", count = \d+ \}", line)
        kept = [re.sub(r"count = \d+", "count = 1", servers[0])]
        line = re.sub(r"servers = \[.*?\]", "servers = [" + ", ".join(kept) + "]", line)
        return re.sub(r"slots = \d+, queue", "slots = 30, queue", line)
    return re.sub(r"^  \{ name = [^\n]*servers = [^\n]*$", shrink, text, flags=re.M)


def keep_turns(text, kept):
    """Has the system keep every turn, or none."""
    return re.sub(r"kept = (true|false)", f"kept = {kept}", text)


def small_memory(text):
    """Gives machines 96 MB."""
    return re.sub(r"memory_mb = \d+", "memory_mb = 96", text)


def bounds(text):
    """Changes bounds and the store's figures."""
    text = text.replace("grace_s = 8.0", "grace_s = 5.0").replace("config_ms = 2000", "config_ms = 1500")
    text = re.sub(r"append_ms = [\d.]+", "append_ms = 8.0", text)
    return re.sub(r"^parts = \d+", "parts = 3", text, flags=re.M)


def engines(**figures):
    """Returns a change of the engines' figures, and of their slots and speeds."""
    def change_line(match):
        line = match.group(0)
        if "model = " not in line:
            return line
        for field, value in figures.items():
            line = re.sub(rf"\b{field} = (\[[^\]]*\]|[\d.]+)", f"{field} = {value}", line)
        return line
    return lambda text: re.sub(r"^  \{ name = [^\n]*servers = [^\n]*$", change_line, text, flags=re.M)


def share_of(share):
    """Returns a change that leaves this share of a fleet: its machines, replicas,
    connections, traffic and the store's rates, so that a loss that grows with the
    fleet shows without a whole one."""
    def scale(match):
        return match.group(1) + str(max(1, round(int(match.group(2)) * share)))

    def scale_rate(match):
        return match.group(1) + f"{float(match.group(2)) * share:.2f}"

    def change_line(line):
        if line.startswith("small = "):
            return line
        if "machines" not in line and "class = \"front\"" in line:
            return re.sub(r"(\b(?:count|spare) = )(\d+)", scale, line)
        line = re.sub(r"(\{ zone = \"[^\"]+\", count = )(\d+)", scale, line)
        line = re.sub(r"(\b(?:conn_cap|clients) = )(\d+)", scale, line)
        return re.sub(r"(\b(?:per_s|writes_per_s|reads_per_s) = )([\d.]+)", scale_rate, line)

    return lambda text: "\n".join(change_line(line) for line in text.split("\n"))


VARIANTS = {
    "share-20": share_of(0.2),
    "share-40": share_of(0.4),
    "uneven-engines": engines(speeds="[1.0, 1.6, 2.4]"),
    "few-slots": engines(slots=8, batch=8, queue=24),
    "slow-prefill": engines(prefill_tokens_per_ms=15.0, speeds="[1.0, 1.0, 1.6]"),
    "fast-little-memory": engines(prefill_tokens_per_ms=200.0, step_ms=1.5, kv_tokens=60000),
    "two-a-zone": lambda text: scale_machines(text, 2),
    "one-a-zone": lambda text: scale_machines(text, 1),
    "nine-a-zone": lambda text: scale_machines(text, 9),
    "one-plain-replica": one_replica_of_plain_service,
    "all-turns-kept": lambda text: keep_turns(text, "true"),
    "small-memory": small_memory,
    "other-bounds": bounds,
}


def main():
    source, out = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    out.mkdir(parents=True, exist_ok=True)
    text = source.read_text()
    for wire in source.parent.glob("wire.json"):
        shutil.copy(wire, out)
    for name, change in VARIANTS.items():
        changed = change(text)
        if changed == text:
            print(f"{name}: nothing to change in {source.name}", file=sys.stderr)
            continue
        target = out / f"{source.stem}-{name}.toml"
        target.write_text(changed)
        print(target)


if __name__ == "__main__":
    main()

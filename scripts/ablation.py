#!/usr/bin/env python3
"""Plays days with one mechanism of the nodes switched off at a time.

    scripts/ablation.py [--seeds 0,11,22] [--jobs 6] [--only NAME,...] BENCH WORK SITE:DAY,DAY [SITE:DAY ...]

BENCH is the users' bench, WORK a folder outside the repository for copies of it.
Processor time is not charged, so that plays mostly repeat. It prints a table: the
worth with everything on, its spread over the seeds, and for each mechanism how
the worth changes without it. The entries of the bench's journal stay in the
copies' journal/ and are to be copied into the repository's.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def mechanisms():
    """Returns the names of the mechanisms, from the source."""
    text = (ROOT / "edge" / "mechanisms.go").read_text()
    return re.findall(r'Mechanism = "([a-z-]+)"', text)


def copy_without(bench, work, name):
    """Makes a copy of the tree whose nodes run without a mechanism; "" leaves all on."""
    target = work / (name or "all")
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(ROOT, target, ignore=shutil.ignore_patterns("target", "journal"))
    (target / "journal").mkdir()
    if name:
        deploy = target / "deploy" / "system.toml"
        text = deploy.read_text()
        changed = re.sub(r'(run = "target/birchwood-edge)"', rf'\1 --without {name}"', text)
        if changed == text:
            sys.exit(f"{deploy}: no run line to change")
        deploy.write_text(changed)
    subprocess.run([bench, "build"], cwd=target, check=True, capture_output=True)
    return target


def play(bench, target, name, site, day, seed):
    """Plays one day and returns its worth and the rules that were broken."""
    report = target / f"report-{pathlib.Path(site).stem}-{day}-{seed}.json"
    command = [bench, "run", site, day, "--no-cpu", "--report", str(report), "--why", f"ablation: without {name or 'nothing'}"]
    if seed != "0":
        command += ["--seed", seed]
    played = subprocess.run(command, cwd=target, capture_output=True, text=True)
    if not report.exists():
        sys.exit(f"{name} {site} {day}: {played.stdout[-400:]}{played.stderr[-400:]}")
    read = json.loads(report.read_text())
    return read["G"], sorted(read["breaks"]) + ([read["fault"]] if read["fault"] else [])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="0,11,22")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--only", default="")
    parser.add_argument("bench")
    parser.add_argument("work", type=pathlib.Path)
    parser.add_argument("days", nargs="+")
    args = parser.parse_args()
    args.work.mkdir(parents=True, exist_ok=True)
    names = [""] + (args.only.split(",") if args.only else mechanisms())
    days = [(site, day) for entry in args.days for site, list_ in [entry.rsplit(":", 1)] for day in list_.split(",")]
    seeds = args.seeds.split(",")
    copies = {name: copy_without(args.bench, args.work, name) for name in names}
    jobs = [(name, site, day, seed) for name in names for site, day in days for seed in seeds]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = list(pool.map(lambda job: play(args.bench, copies[job[0]], *job), jobs))
    worths, broken = {}, {}
    for (name, site, day, _), (worth, rules) in zip(jobs, results):
        worths.setdefault((name, site, day), []).append(worth)
        broken.setdefault(name, set()).update(rules)
    print("| switched off | " + " | ".join(f"{pathlib.Path(site).stem} {day}" for site, day in days) + " | mean | rules broken |")
    print("|---|" + "---|" * (len(days) + 2))
    for name in names:
        cells, changes = [], []
        for site, day in days:
            worth = statistics.mean(worths[(name, site, day)])
            if not name:
                cells.append(f"{worth:.3f} (sd {statistics.pstdev(worths[(name, site, day)]):.3f})")
                continue
            change = worth - statistics.mean(worths[("", site, day)])
            changes.append(change)
            cells.append(f"{change:+.3f}")
        mean = f"{statistics.mean(changes):+.3f}" if changes else ""
        print(f"| {name or 'nothing: worth'} | " + " | ".join(cells) + f" | {mean} | {', '.join(sorted(broken[name])) or 'none'} |")


if __name__ == "__main__":
    main()

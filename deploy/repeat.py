#!/usr/bin/env python3
"""Plays one day many times and tells how often a rule broke.

repeat.py --tool PROGRAM [--runs N] [--beside N] [--load N] [--policy FILE]
          [--keep DIR] SITE DAY [--seed N] [--vary]

The committed sources are copied once for each play that runs at a time, so the
working tree may change meanwhile. A line is printed for each play, then a summary:
plays, plays that broke a rule, worth, and the worth of requests that upstreams
worked on after their callers had left. The exit status is 1 if a rule broke.
Entries of the tool's journal are brought back into journal/.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import queue
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Longest time for one play, in seconds.
PLAY_S = 900
LEFT = "worth worked on after its client had left"


def make_copy(folder, options, number):
    """A clone of the commit, whose programs start with the policy file, if any."""
    copy = pathlib.Path(folder) / str(number)
    subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    subprocess.run(["git", "checkout", "-q", options.commit], cwd=copy,
                   check=True)
    if options.policy:
        shutil.copy(options.policy, copy / "deploy" / "policy.json")
        system = copy / "deploy" / "system.toml"
        system.write_text(re.sub(r'^run = "([^"]*)"$',
                                 r'run = "\1 --policy deploy/policy.json"',
                                 system.read_text(), flags=re.MULTILINE))
    return copy


def read_play(copy, before):
    """The journal entry that a play left: (path, its one day)."""
    new = sorted(set((copy / "journal").glob("*.json")) - before)
    if not new:
        return None, None
    return new[-1], json.loads(new[-1].read_text())["days"][0]


def play(options, copies, number):
    """One play; returns what it showed, or None where it left no entry."""
    copy = copies.get()
    before = set((copy / "journal").glob("*.json"))
    command = [options.tool, "run", str(options.site), options.day,
               "--jobs", "1", "--why", options.why or
               f"repeat: {options.day}, play {number} of {options.runs}"]
    if options.seed is not None:
        command += ["--seed", str(options.seed)]
    if options.vary:
        command += ["--vary"]
    if options.keep:
        command += ["--log", "all"]
    done = subprocess.run(command, cwd=copy, timeout=PLAY_S, check=False,
                          capture_output=True, text=True)
    path, day = read_play(copy, before)
    if path is not None:
        shutil.copy(path, ROOT / "journal" / path.name)
    if options.keep:
        options.keep.mkdir(parents=True, exist_ok=True)
        (options.keep / f"{number}.txt").write_text(done.stdout)
        (options.keep / f"{number}.log").write_text(done.stderr)
    copies.put(copy)
    if day is None:
        print(f"play {number}: no result\n{done.stdout[-500:]}"
              f"{done.stderr[-500:]}", flush=True)
        return None
    left = re.search(r"([-\d.]+) " + LEFT, done.stdout)
    result = {"broken": day.get("rules") or day.get("fault") or "",
              "worth": day["G"], "left": float(left[1]) if left else 0.0}
    print(f"play {number}: worth {result['worth']:.3f}, worked on after its "
          f"caller left {result['left']:.1f}, broken: "
          f"{result['broken'] or 'none'}, {path.stem}", flush=True)
    return result


def start_load(count):
    """Busy processes beside the plays."""
    return [subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(count)]


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("day")
    parser.add_argument("--tool", required=True)
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--beside", type=int, default=2,
                        help="plays at a time")
    parser.add_argument("--load", type=int, default=2,
                        help="busy processes beside the plays")
    parser.add_argument("--policy", type=pathlib.Path)
    parser.add_argument("--keep", type=pathlib.Path,
                        help="folder for the output and all logs of each play")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--vary", action="store_true")
    parser.add_argument("--why", default="")
    options = parser.parse_args()
    options.commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=ROOT, check=True,
        capture_output=True, text=True).stdout.strip()
    options.site = options.site.resolve()
    began = time.monotonic()
    load = start_load(options.load)
    try:
        with tempfile.TemporaryDirectory() as folder, \
                concurrent.futures.ThreadPoolExecutor(options.beside) as pool:
            copies = queue.SimpleQueue()
            for number in range(options.beside):
                copies.put(make_copy(folder, options, number))
            results = list(pool.map(
                lambda number: play(options, copies, number),
                range(1, options.runs + 1)))
    finally:
        for process in load:
            process.terminate()
            process.wait()
    played = [result for result in results if result is not None]
    broken = [result for result in played if result["broken"]]
    left = [result["left"] for result in played]
    print(f"{options.site.stem} {options.day} at {options.commit[:7]}: "
          f"{len(played)} of {options.runs} played, {len(broken)} broke a rule"
          + (f", worth {statistics.mean(r['worth'] for r in played):.3f}, "
             f"worked on after callers left: above 0 in "
             f"{sum(value > 0 for value in left)}, most {max(left):.1f}"
             if played else "")
          + f"; {options.load} busy processes beside, load "
          f"{os.getloadavg()[0]:.1f}, {time.monotonic() - began:.0f} s")
    return 1 if broken or len(played) < options.runs else 0


if __name__ == "__main__":
    sys.exit(main())

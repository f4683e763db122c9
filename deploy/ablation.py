#!/usr/bin/env python3
"""Plays the standard days with each mechanism switched off alone.

ablation.py --tool PROGRAM [--runs N] [--jobs N] [--only NAME,...] SITE...

For each mechanism that `src/gateway/config/policy.c` names, and once with none switched
off, a copy of the committed sources is built whose programs are started with a
policy file, and the standard days of each site are played. A table is printed:
the mean worth of the days with trouble and that of the quiet day, as differences
to all on. Entries of the tool's journal are brought back into journal/.
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
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAMES = ROOT / "src" / "gateway" / "config" / "policy.c"
# Longest time for one call of the tool, in seconds.
CALL_S = 1200


def mechanisms():
    """Names in the order of the source."""
    return re.findall(r'\[PGW_[A-Z_]+\] = "([a-z_]+)"', NAMES.read_text())


def make_copy(folder, commit, name):
    """A clone of a commit whose programs start with the mechanism switched off."""
    copy = pathlib.Path(folder) / (name or "all-on")
    subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    subprocess.run(["git", "checkout", "-q", commit], cwd=copy, check=True)
    (copy / "deploy" / "policy.json").write_text(
        json.dumps({"off": [name] if name else []}))
    system = copy / "deploy" / "system.toml"
    system.write_text(re.sub(r'^run = "([^"]*)"$',
                             r'run = "\1 --policy deploy/policy.json"',
                             system.read_text(), flags=re.MULTILINE))
    return copy


def play(options, copy, name, site):
    """Mean worth of the days with trouble, and that of the quiet ones."""
    before = set((copy / "journal").glob("*.json"))
    why = f"ablation: {name or 'nothing'} off"
    subprocess.run([options.tool, "score", str(site), "--jobs",
                    str(options.jobs), "--why", why], cwd=copy, timeout=CALL_S,
                   check=False, capture_output=True)
    worth = {"trouble": [], "quiet": []}
    for path in set((copy / "journal").glob("*.json")) - before:
        entry = json.loads(path.read_text())
        for day in entry["days"]:
            broken = day.get("rules") or day.get("fault")
            if broken:
                print(f"{name or 'all on'}: {site.stem} {day['name']} "
                      f"{day['seed']}: {broken}", file=sys.stderr)
            if day["name"].startswith("quiet"):
                worth["quiet"].append(day["G"])
            elif not day["name"].startswith("fresh"):
                worth["trouble"].append(day["G"])
        shutil.copy(path, ROOT / "journal" / path.name)
    return {kind: statistics.mean(values) if values else None
            for kind, values in worth.items()}


def play_mechanism(options, folder, name):
    """All sites with one mechanism off: site -> kind -> mean of the runs."""
    copy = make_copy(folder, options.commit, name)
    result = {}
    for site in options.sites:
        runs = [play(options, copy, name, site) for _ in range(options.runs)]
        result[site.stem] = {
            kind: statistics.mean(run[kind] for run in runs)
            for kind in ("trouble", "quiet")
            if all(run[kind] is not None for run in runs)}
    shutil.rmtree(copy)
    return result


def row(name, result, base):
    """One line of the table."""
    cells = []
    for site, kinds in result.items():
        for kind, value in kinds.items():
            text = f"{value:.3f}"
            if base is not None:
                text = f"{value - base[site][kind]:+.3f}"
            cells.append(text)
    return f"| {name} | " + " | ".join(cells) + " |"


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--tool", required=True)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--beside", type=int, default=2,
                        help="mechanisms that are played at a time")
    parser.add_argument("--only", default="", help="names, joined by commas")
    options = parser.parse_args()
    options.commit = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=ROOT, check=True,
        capture_output=True, text=True).stdout.strip()
    options.sites = [site.resolve() for site in options.sites]
    names = options.only.split(",") if options.only else mechanisms()
    heads = [f"{site.stem} {kind}" for site in options.sites
             for kind in ("trouble", "quiet")]
    print("| off | " + " | ".join(heads) + " |")
    print("|" + "---|" * (len(heads) + 1))
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(options.beside) as pool:
        base = play_mechanism(options, folder, None)
        print(row("(all on)", base, None), flush=True)
        for name, result in zip(names, pool.map(
                lambda name: play_mechanism(options, folder, name), names)):
            print(row(name, result, base), flush=True)


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Plays rounds of days with the platform's tool and says where they stand.

rounds.py --tool PROGRAM [--score] [--hunt DAYS] [--own DAYS] SITE...
rounds.py --tool PROGRAM --regression FOLDER

For each site file: the standard days, days that the tool draws, and days that
deploy/days/draw.py draws. One table is printed: broken rules with counts, score,
worth, the largest prices, each beside the figures of the last committed round
(bench/results/platform.json); --keep writes the new ones there. --regression plays
what has to be played before each landing: the sites that deploy/regression.json
lists, each with as many drawn days as it says. Exits with 1 when
a rule was broken. The tool is run in the current checkout and leaves its entries
in journal/.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
RESULTS = ROOT / "bench" / "results" / "platform.json"
REGRESSION = ROOT / "deploy" / "regression.json"
DRAW = ROOT / "deploy" / "days" / "draw.py"
# How the tool begins a line that says why it plays nothing.
REFUSED = "\nfleetbench: "
# Troubles of a day of our own; the standard days have up to twelve.
TROUBLES = 9
# Longest time for one call of the tool, in seconds: a round of 100 days on the
# largest deployment took eight minutes.
CALL_S = 1500
PRICES_SHOWN = 3


def read_entries(names):
    """The journal's entries of these names, as parsed JSON."""
    return [json.loads((JOURNAL / name).read_text()) for name in sorted(names)]


def entry_names():
    return {path.name for path in JOURNAL.glob("*.json")}


def call(options, site, words):
    """Runs the tool once; its output matters only when it can't run."""
    command = [options.tool, words[0], str(site), *words[1:],
               "--why", options.why]
    done = subprocess.run(command, cwd=ROOT, timeout=CALL_S, check=False,
                          capture_output=True, text=True)
    text = done.stdout + done.stderr
    if "built in" not in text or REFUSED in text:
        sys.exit(f"{' '.join(command)}: {text}")


def play_own(options, site):
    """Days of our own, several at a time."""
    words = [str(TROUBLES)]
    if "grown" in site.name:
        words.append("grown")
    seeds = range(options.seed, options.seed + options.own)
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        calls = []
        for seed in seeds:
            day = pathlib.Path(folder) / f"own-{seed}.toml"
            text = subprocess.run(
                [sys.executable, str(DRAW), str(seed), *words],
                check=True, capture_output=True, text=True).stdout
            day.write_text(text)
            calls.append(pool.submit(call, options, site,
                                     ["run", str(day), "--jobs", "1"]))
        for one in calls:
            one.result()


def summarise(entries):
    """What the table shows of all days of some journal entries."""
    days = [day for entry in entries for day in entry["days"]]
    broken = collections.Counter()
    where = collections.defaultdict(list)
    prices = collections.Counter()
    for day in days:
        for rule, count in (day.get("rules") or {}).items():
            broken[rule] += count if isinstance(count, int) else 1
            where[rule].append(f"{day['name']}@{day['seed']}")
        if day.get("fault"):
            broken["fault"] += 1
            where["fault"].append(f"{day['name']}@{day['seed']}")
        for name, _, worth in day.get("prices") or []:
            prices[name] += worth
    worth = [day["G"] for day in days if day.get("G") is not None]
    scores = [entry["score"] for entry in entries
              if entry.get("score") is not None]
    return {
        "days": len(days),
        "broken": dict(broken),
        "where": dict(where),
        "score": round(scores[-1], 3) if scores else None,
        "worth": round(sum(worth) / len(worth), 3) if worth else None,
        "least": round(min(worth), 3) if worth else None,
        "prices": [(name, round(sum_ / max(len(days), 1), 3))
                   for name, sum_ in prices.most_common(PRICES_SHOWN)],
    }


def as_row(site, kind, now, before):
    """One line of the table."""
    def beside(name):
        old = (before or {}).get(name)
        new = now[name]
        text = "-" if new is None else f"{new:.3f}"
        return text if old is None else f"{text} ({old:.3f})"

    broken = ", ".join(f"{rule} x{count}: {' '.join(now['where'][rule])}"
                       for rule, count in now["broken"].items()) or "none"
    prices = ", ".join(f"{name} {worth}" for name, worth in now["prices"])
    return (f"| {site} | {kind} | {now['days']} | {broken} | {beside('score')} "
            f"| {beside('worth')} | {beside('least')} | {prices} |")


def play(options, site, kind):
    """Plays one kind of days on a site and returns its summary."""
    before = entry_names()
    if kind == "standard":
        call(options, site, ["score", "--jobs", str(options.jobs)])
    elif kind == "drawn":
        call(options, site, ["hunt", "--days", str(options.hunt),
                             "--jobs", str(options.jobs)])
    else:
        play_own(options, site)
    entries = read_entries(entry_names() - before)
    return summarise([entry for entry in entries
                      if entry.get("site") == site.stem])


def parse():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("sites", nargs="*", type=pathlib.Path)
    parser.add_argument("--regression", type=pathlib.Path, metavar="FOLDER",
                        help="where the sites of deploy/regression.json lie")
    parser.add_argument("--tool", required=True)
    parser.add_argument("--score", action="store_true",
                        help="play the standard days")
    parser.add_argument("--hunt", type=int, default=0,
                        help="days that the tool draws")
    parser.add_argument("--own", type=int, default=0,
                        help="days that draw.py draws")
    parser.add_argument("--seed", type=int, default=1,
                        help="of the first day of our own")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--why", default="a round")
    parser.add_argument("--keep", action="store_true",
                        help="write the figures to bench/results/platform.json")
    options = parser.parse_args()
    if bool(options.sites) == (options.regression is not None):
        parser.error("name sites, or --regression with their folder")
    return options


def listed_sites(options):
    """Sites to play, each with the number of days that the tool draws."""
    if options.regression is None:
        return [(site, options.hunt) for site in options.sites]
    options.score = True
    return [(options.regression / entry["site"], entry["hunt"])
            for entry in json.loads(REGRESSION.read_text())["sites"]]


def main():
    options = parse()
    sites = listed_sites(options)
    kept = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    broken = False
    print("| site | days | number | broken rules | score | mean worth "
          "| least worth | largest prices of a day |")
    print("|---|---|---|---|---|---|---|---|")
    for site, hunt in sites:
        options.hunt = hunt
        kinds = [kind for kind, wanted in (("standard", options.score),
                                           ("drawn", options.hunt),
                                           ("own", options.own)) if wanted]
        for kind in kinds:
            now = play(options, site.resolve(), kind)
            rows = kept.setdefault(site.stem, {})
            print(as_row(site.stem, kind, now, rows.get(kind)), flush=True)
            rows[kind] = now
            broken = broken or bool(now["broken"])
    if options.keep:
        RESULTS.write_text(json.dumps(kept, indent=1) + "\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

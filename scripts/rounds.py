#!/usr/bin/env python3
"""Plays days of a site file on several seeds and tabulates them.

    scripts/rounds.py play BENCH SITE --why TEXT --out FILE [--days A,B] [--seeds 1,2,3,4] [--jobs 4]
    scripts/rounds.py compare BEFORE AFTER

`play` writes one JSON object a line: day, seed, worth, score, served, failed,
broken rules, prices by name. `compare` pairs the lines of two files by day and
seed and gives the mean difference with its 95% interval (normal approximation).
"""

import argparse
import concurrent.futures
import json
import math
import re
import statistics
import subprocess
import tempfile

DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
ROW = re.compile(r"\s+\d+/\d+\s+([\d.]+)\s+")


def play_one(bench, site, day, seed, why):
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        words = [bench, "run", site, day, "--seed", str(seed), "--why", why, "--report", report.name]
        run = subprocess.run(words, capture_output=True, text=True)
        try:
            told = json.load(open(report.name))
        except json.JSONDecodeError:
            raise SystemExit(f"{day} {seed} was not played:\n{run.stdout}{run.stderr}")
    row = next((line for line in run.stdout.splitlines() if line.startswith(day)), "")
    score = ROW.search(row)
    return {
        "day": day,
        "seed": seed,
        "worth": told["G"],
        "score": float(score.group(1)) if score else None,
        "served": told["served"],
        "failed": told["failed"],
        "broken": told["breaks"],
        "prices": {name: worth for name, _, worth in told["prices"]},
    }


def play(words):
    days = [(day, seed) for seed in words.seeds.split(",") for day in words.days.split(",")]
    with concurrent.futures.ThreadPoolExecutor(words.jobs) as pool:
        plays = [pool.submit(play_one, words.bench, words.site, day, seed, words.why) for day, seed in days]
        rows = [one.result() for one in plays]
    with open(words.out, "w") as out:
        out.writelines(json.dumps(row) + "\n" for row in rows)
    tabulate(rows)


def tabulate(rows):
    mean = lambda name: statistics.fmean(row[name] for row in rows if row[name] is not None)
    prices = {}
    for row in rows:
        for name, worth in row["prices"].items():
            prices[name] = prices.get(name, 0) + worth / len(rows)
    largest = sorted(prices.items(), key=lambda one: -one[1])[:8]
    print(f"{len(rows)} days: worth {mean('worth'):.3f} score {mean('score'):.3f} "
          f"served {mean('served'):.3f} failed {mean('failed'):.3f} "
          f"broken {sum(bool(row['broken']) for row in rows)}")
    print("prices: " + ", ".join(f"{name} {worth:.4f}" for name, worth in largest))
    for row in rows:
        if row["broken"]:
            print(f"broken: {row['day']} --seed {row['seed']}: {row['broken']}")


def read(path):
    rows = [json.loads(line) for line in open(path)]
    return {(row["day"], row["seed"]): row for row in rows}


def compare(words):
    before, after = read(words.before), read(words.after)
    both = sorted(set(before) & set(after))
    for name in ("worth", "served", "failed"):
        tell(name, [after[key][name] - before[key][name] for key in both])
    for price in sorted({name for key in both for name in after[key]["prices"]}):
        tell(price, [after[key]["prices"].get(price, 0) - before[key]["prices"].get(price, 0) for key in both], 0.0005)


def tell(name, gaps, least=0.0):
    mean = statistics.fmean(gaps)
    spread = statistics.stdev(gaps) if len(gaps) > 1 else 0.0
    if abs(mean) >= least:
        print(f"{name}: {mean:+.4f} +- {1.96 * spread / math.sqrt(len(gaps)):.4f} over {len(gaps)} days")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(required=True)
    one = verbs.add_parser("play")
    one.add_argument("bench")
    one.add_argument("site")
    one.add_argument("--why", required=True)
    one.add_argument("--out", required=True)
    one.add_argument("--days", default=DAYS)
    one.add_argument("--seeds", default="1,2,3,4")
    one.add_argument("--jobs", type=int, default=4)
    one.set_defaults(run=play)
    one = verbs.add_parser("compare")
    one.add_argument("before")
    one.add_argument("after")
    one.set_defaults(run=compare)
    words = parser.parse_args()
    words.run(words)


main()

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
        command = [bench, "run", site, day, "--seed", str(seed), "--why", why, "--report", report.name]
        run = subprocess.run(command, capture_output=True, text=True)
        try:
            result = json.load(open(report.name))
        except json.JSONDecodeError:
            raise SystemExit(f"{day} {seed} was not played:\n{run.stdout}{run.stderr}")
    row = next((line for line in run.stdout.splitlines() if line.startswith(day)), "")
    score = ROW.search(row)
    return {
        "day": day,
        "seed": seed,
        "worth": result["G"],
        "score": float(score.group(1)) if score else None,
        "served": result["served"],
        "failed": result["failed"],
        "broken": result["breaks"],
        "prices": {name: worth for name, _, worth in result["prices"]},
    }


def play(options):
    days = [(day, seed) for seed in options.seeds.split(",") for day in options.days.split(",")]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(play_one, options.bench, options.site, day, seed, options.why) for day, seed in days]
        rows = [run.result() for run in runs]
    with open(options.out, "w") as out:
        out.writelines(json.dumps(row) + "\n" for row in rows)
    tabulate(rows)


def tabulate(rows):
    mean = lambda name: statistics.fmean(row[name] for row in rows if row[name] is not None)
    prices = {}
    for row in rows:
        for name, worth in row["prices"].items():
            prices[name] = prices.get(name, 0) + worth / len(rows)
    largest = sorted(prices.items(), key=lambda price: -price[1])[:8]
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


def compare(options):
    before, after = read(options.before), read(options.after)
    both = sorted(set(before) & set(after))
    for name in ("worth", "served", "failed"):
        print_difference(name, [after[key][name] - before[key][name] for key in both])
    for price in sorted({name for key in both for name in after[key]["prices"]}):
        print_difference(price, [after[key]["prices"].get(price, 0) - before[key]["prices"].get(price, 0) for key in both], 0.0005)


def print_difference(name, gaps, least=0.0):
    mean = statistics.fmean(gaps)
    spread = statistics.stdev(gaps) if len(gaps) > 1 else 0.0
    if abs(mean) >= least:
        print(f"{name}: {mean:+.4f} +- {1.96 * spread / math.sqrt(len(gaps)):.4f} over {len(gaps)} days")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    commands = parser.add_subparsers(required=True)
    command = commands.add_parser("play")
    command.add_argument("bench")
    command.add_argument("site")
    command.add_argument("--why", required=True)
    command.add_argument("--out", required=True)
    command.add_argument("--days", default=DAYS)
    command.add_argument("--seeds", default="1,2,3,4")
    command.add_argument("--jobs", type=int, default=4)
    command.set_defaults(run=play)
    command = commands.add_parser("compare")
    command.add_argument("before")
    command.add_argument("after")
    command.set_defaults(run=compare)
    options = parser.parse_args()
    options.run(options)


main()

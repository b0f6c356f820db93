#!/usr/bin/env python3
"""Writes the tables of docs/CAPACITY.md out of a sweep's entry in the journal.

    scripts/capacity.py ENTRY.json REPORT.txt

ENTRY is the entry that `fleetbench sweep` left in journal/, REPORT what it printed.
Prints Markdown: days by size, then the printed lines of each role, as they stand.
"""

import json
import sys


def days(entry):
    print("| machines of ours | replicas | served | worth | calls to the store | prices | rules broken |")
    print("|---|---|---|---|---|---|---|")
    for day in entry["days"]:
        prices = {name: (count, worth) for name, count, worth in day["prices"]}
        calls, cost = prices.get("cloud calls", (0.0, 0.0))
        total = sum(worth for _, worth in prices.values())
        print(f"| {day['balancers']} | {day['servers']} | {day['served']:.3f} | {day['G']:.3f} "
              f"| {calls:.0f} ({cost:.4f}) | {total:.3f} | {sum(day['rules'].values()) if day['rules'] else 0} |")


def lines(report):
    kept = [line.rstrip() for line in open(report) if line.strip()]
    print("\n```")
    print("\n".join(kept))
    print("```")


def main():
    if len(sys.argv) != 3:
        raise SystemExit(__doc__)
    entry = json.load(open(sys.argv[1]))
    print(f"From `{sys.argv[1]}` (\"{entry['why']}\").\n")
    days(entry)
    lines(sys.argv[2])


main()

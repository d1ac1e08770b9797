#!/usr/bin/env python3
"""Says where the lost worth of a played day went.

Usage: Utilities/loss_ledger.py REPORT LOG

REPORT is what the users' bench writes with --report, LOG what it prints with
--log all for the same play. Prints a table: for each cause the lost share of
the credit of the whole day, and for a closing outage how much of it no balancer
could have saved. Exits 2 when a file cannot be read.
"""

import json
import re
import statistics
import sys

WINDOW_S = 2.0
# A start of more than half of the instances within this time ends an outage.
OUTAGE_SPREAD_S = 3.0
# Requests of an outage are tried again for so long after it.
AFTERMATH_S = 2.0

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")


def read_starts(path):
    """Returns (instance, time of `starting`, time of `serving`) of each start."""
    starts = []
    latest = {}
    with open(path, encoding="utf-8", errors="replace") as log:
        for text in log:
            if '"starting"' not in text and '"serving"' not in text:
                continue
            found = LINE.match(text)
            if not found:
                continue
            time, instance = float(found[1]), found[2]
            message = json.loads(found[3])["message"]
            if message == "starting":
                latest[instance] = [instance, time, None]
                starts.append(latest[instance])
            elif message == "serving" and instance in latest:
                latest[instance][2] = time
    return starts


def find_outage(starts, closing_s):
    """Returns the starts after the closing fault; empty without an outage."""
    late = [s for s in starts if s[1] >= closing_s and s[2] is not None]
    instances = {s[0] for s in starts}
    if len({s[0] for s in late}) * 2 < len(instances):
        return []
    first = min(s[1] for s in late)
    return [s for s in late if s[1] <= first + OUTAGE_SPREAD_S]


def lost_credit(window):
    return window["n"] * (1.0 - window["worth"])


def active_events(report, start_s):
    """Names of the troubles of a window, or of just before it."""
    names = set()
    for event in report["events"]:
        if event["at_s"] < start_s + WINDOW_S and start_s < event["to_s"] + WINDOW_S:
            names.add(event["kind"])
    return ", ".join(sorted(names)) or "no trouble"


def build_ledger(report, starts):
    windows = [w for w in report["windows"] if w["n"] > 0]
    total = sum(w["n"] for w in windows)
    events = report["events"]
    closing_s = max((e["at_s"] for e in events if not e["planned"]), default=0.0)
    outage = find_outage(starts, closing_s)
    shares = [lost_credit(w) / w["n"] for w in windows]
    # Long work is late on any day: the middle window has no trouble.
    usual = statistics.median(shares)

    ledger = {}

    def add(cause, credit):
        ledger[cause] = ledger.get(cause, 0.0) + credit / total

    for window in windows:
        start_s = float(window["name"])
        credit = lost_credit(window)
        long_work = min(credit, usual * window["n"])
        add("long work, late in calm windows too", long_work)
        rest = credit - long_work
        if outage:
            began, ended = closing_s, max(s[2] for s in outage)
            if began - WINDOW_S < start_s < ended + AFTERMATH_S:
                add("closing outage", rest)
                continue
        add(active_events(report, start_s), rest)
    return ledger, outage, closing_s


def print_ledger(report, ledger, outage, closing_s):
    print("lost share of the day's credit, by cause")
    for cause, share in sorted(ledger.items(), key=lambda item: -item[1]):
        if share >= 0.00005:
            print(f"  {share:.4f}  {cause}")
    print("prices, in worth")
    for name, _, price in sorted(report["prices"], key=lambda row: -row[2]):
        if price >= 0.0005:
            print(f"  {price:.4f}  {name}")
    if outage:
        starting = statistics.median(s[1] for s in outage)
        serving = statistics.median(s[2] for s in outage)
        print("closing outage, middle instance")
        print(f"  {starting - closing_s:.3f} s until the platform has started it")
        print(f"  {serving - starting:.3f} s from its first line until it serves")
        share = (starting - closing_s) / (serving - closing_s)
        print(f"  {share:.2f} of the time without a process is the platform's")


def main():
    if len(sys.argv) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        with open(sys.argv[1], encoding="utf-8") as file:
            report = json.load(file)
        starts = read_starts(sys.argv[2])
    except (OSError, ValueError) as error:
        print(f"loss_ledger: {error}; name a report and a log", file=sys.stderr)
        return 2
    print_ledger(report, *build_ledger(report, starts))
    return 0


if __name__ == "__main__":
    sys.exit(main())

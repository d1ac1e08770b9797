#!/usr/bin/env python3
"""Says where the lost worth of a played day went.

Usage: Utilities/loss_ledger.py REPORT LOG SITE

REPORT is what the users' bench writes with --report, LOG what it prints with
--log all for the same play, SITE the site file. Prints a table: for each cause
the lost share of the credit of the whole day. Work that is too long for its aim
on an idle endpoint follows from the site's distributions; for a closing outage
the table says how much of it no balancer could have saved. With a log of level
debug it also shows the slowest answers of the worst windows and the decisions
that opened their flows. Exits 2 when a file cannot be read.
"""

import json
import math
import re
import statistics
import sys
import tomllib

WINDOW_S = 2.0
# A start of more than half of the instances within this time ends an outage.
OUTAGE_SPREAD_S = 3.0
# Requests of an outage are tried again for so long after it.
AFTERMATH_S = 2.0
# Windows and answers in each that are shown as examples.
EXAMPLE_WINDOWS = 5
EXAMPLES = 5

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


def share_above(limit_ms, work):
    """Share of a lognormal distribution with the mean and spread of `work`."""
    if limit_ms <= 0:
        return 1.0
    sigma = work["spread"]
    middle = math.log(work["mean"]) - sigma * sigma / 2
    return 0.5 * math.erfc((math.log(limit_ms) - middle) / sigma / math.sqrt(2))


def long_work_loss(site):
    """Share of the credit that is lost to work too long for its aim, by class."""
    losses = {}
    for kind in site["classes"]:
        work = kind["work_ms"]
        trips = 2 if kind.get("habit") == "fresh" else 1
        limit = kind["aim_ms"] - trips * 2 * site["net"]["client_ms"]
        usual = share_above(limit, work)
        longer = share_above(limit / work["tail_x"], work)
        late = (1 - work["tail"]) * usual + work["tail"] * longer
        losses[kind["name"]] = late * (1 - kind["late_worth"])
    return losses


def mean_long_work_loss(report, site):
    """The same for all classes together, by the credit that they are owed."""
    losses = long_work_loss(site)
    worth = {kind["name"]: kind["worth"] for kind in site["classes"]}
    owed = {c["name"]: c["n"] * worth[c["name"]] for c in report["classes"]}
    return sum(losses[n] * c for n, c in owed.items()) / sum(owed.values())


def lost_credit(window):
    return window["n"] * (1.0 - window["worth"])


def active_events(report, start_s):
    """Names of the troubles of a window, or of just before it."""
    names = set()
    for event in report["events"]:
        if event["at_s"] < start_s + WINDOW_S and start_s < event["to_s"] + WINDOW_S:
            names.add(event["kind"])
    return ", ".join(sorted(names)) or "no trouble"


def build_ledger(report, starts, site):
    windows = [w for w in report["windows"] if w["n"] > 0]
    total = sum(w["n"] for w in windows)
    events = report["events"]
    closing_s = max((e["at_s"] for e in events if not e["planned"]), default=0.0)
    outage = find_outage(starts, closing_s)
    long_work = mean_long_work_loss(report, site)

    ledger = {}

    def add(cause, credit):
        ledger[cause] = ledger.get(cause, 0.0) + credit / total

    for window in windows:
        start_s = float(window["name"])
        credit = lost_credit(window)
        add("work too long for its aim on an idle endpoint",
            long_work * window["n"])
        rest = credit - long_work * window["n"]
        if outage:
            began, ended = closing_s, max(s[2] for s in outage)
            if began - WINDOW_S < start_s < ended + AFTERMATH_S:
                add("closing outage", rest)
                continue
        add(active_events(report, start_s), rest)
    return ledger, outage, closing_s


def parse_time(text):
    """Seconds of the day of a log line's time."""
    hours, minutes, seconds = text[11:-1].split(":")
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)


def read_answers(path):
    """Returns the answers of a log of level debug, (time, line), and the latest
    opening of each flow."""
    offsets, openings, answers = {}, {}, []
    with open(path, encoding="utf-8", errors="replace") as log:
        for text in log:
            found = LINE.match(text)
            if not found:
                continue
            line = json.loads(found[3])
            if line["message"] == "starting":
                offsets[found[2]] = parse_time(line["time"]) - float(found[1])
            elif line["message"] == "flow_opened":
                openings[line["flow"]] = line
            elif line["message"] == "request_answered":
                time = parse_time(line["time"]) - offsets[found[2]]
                answers.append((time, line))
    return answers, openings


def print_examples(report, answers, openings):
    if not answers:
        return
    worst = sorted(report["windows"], key=lost_credit, reverse=True)
    for window in worst[:EXAMPLE_WINDOWS]:
        start_s = float(window["name"])
        print(f"slowest answers from {start_s:.0f} s on, worth {window['worth']:.3f}: "
              + active_events(report, start_s))
        inside = [line for time, line in answers
                  if start_s <= time < start_s + WINDOW_S]
        inside.sort(key=lambda line: -int(line["age_ms"]))
        for line in inside[:EXAMPLES]:
            opening = openings.get(line["flow"], {})
            print(f"  {line['age_ms']} ms, {line['flow']} at {line['endpoint']} by "
                  f"{line['instance']}; opened with {opening.get('waiting', '?')} "
                  f"waiting, copy {opening.get('copy', '?')}, directory "
                  f"{opening.get('directory_age_ms', '?')} ms old")


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
    if len(sys.argv) != 4:
        print(__doc__, file=sys.stderr)
        return 2
    try:
        with open(sys.argv[1], encoding="utf-8") as file:
            report = json.load(file)
        starts = read_starts(sys.argv[2])
        answers = read_answers(sys.argv[2])
        with open(sys.argv[3], "rb") as file:
            site = tomllib.load(file)
    except (OSError, ValueError) as error:
        print(f"loss_ledger: {error}; name a report, a log and a site",
              file=sys.stderr)
        return 2
    print_ledger(report, *build_ledger(report, starts, site))
    print_examples(report, *answers)
    return 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Writes variations of a site file, to see that nothing is fitted to it.

Usage: Utilities/vary_sites.py SITE FOLDER

Each variation changes the figures of work, endpoints, machines, links, the
platform or the load, and keeps the load of an endpoint's slots within reason.
The folder has to lie outside the repository. Prints the names of the files.
Exits 2 when the site file cannot be read.
"""

import pathlib
import re
import shutil
import sys


def scale(text, pattern, factor):
    """Multiplies the number that each match of `pattern` ends with."""

    def scaled(found):
        number = float(found[2]) * factor
        if "." not in found[2]:
            return f"{found[1]}{max(1, round(number))}"
        return f"{found[1]}{round(number, 4)!r}"

    return re.sub(rf"({pattern})([\d.]+)", scaled, text)


def scale_in_work(text, fields, factor):
    """Multiplies fields of the distributions of work."""

    def scaled(found):
        work = found[0]
        for field in fields:
            work = scale(work, f"{field} = ", factor)
        return work

    return re.sub(r"work_ms = \{[^}]*\}", scaled, text)


def scale_work(text, factor):
    """Scales work, aims and deadlines alike."""
    text = scale_in_work(text, ("mean", "max"), factor)
    return scale(scale(text, "aim_ms = ", factor), "deadline_ms = ", factor)


def scale_load(text, factor):
    text = scale(text, r"per_s = (?=\d+[.]\d+, clients)", factor)
    return scale(text, "clients = ", factor)


def with_slots(text, slots):
    return re.sub(r"slots = \d+", f"slots = {slots}", text)


# What each variation answers: a constant that would follow from one of these.
VARIATIONS = {
    "slow-work": lambda t: scale_load(scale_work(t, 4.0), 0.25),
    "quick-work": lambda t: scale_load(scale_work(t, 0.4), 2.0),
    "one-slot": lambda t: scale_load(with_slots(t, 1), 0.5),
    "many-slots": lambda t: scale_load(with_slots(t, 6), 2.6),
    "long-tail": lambda t: scale_in_work(t, ("tail_x", "max"), 2.0),
    "small-machines": lambda t: scale(
        scale(scale(t, "cpu_share = ", 0.3), "link_mbps = ", 0.02),
        "memory_mb = ", 0.4),
    "slow-platform": lambda t: scale(
        scale(scale(t, "reads_per_s = ", 0.1), "beat_ms = ", 2.0),
        "lag_ms = ", 2.0),
    "far-data-centres": lambda t: scale(
        scale(t, "cross_zone_ms = ", 8.0), "client_ms = ", 3.0),
    "high-load": lambda t: scale_load(t, 1.2),
}


def main():
    if len(sys.argv) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    site, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    try:
        text = site.read_text(encoding="utf-8")
        folder.mkdir(parents=True, exist_ok=True)
        # A site file refers to the messages that lie beside it.
        shutil.copy(site.parent / "wire.json", folder / "wire.json")
        for name, vary in VARIATIONS.items():
            file = folder / f"{site.stem}-{name}.toml"
            file.write_text(vary(text), encoding="utf-8")
            print(file)
    except OSError as error:
        print(f"vary_sites: {error}; name a site file and a folder",
              file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

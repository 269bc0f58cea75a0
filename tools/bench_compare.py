#!/usr/bin/env python3
"""Prints two reports of bench.py side by side: OLD NEW."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "bench"))
from report import show  # noqa: E402


def load(path):
    with open(path) as fp:
        return {r["name"]: r for r in json.load(fp)["runs"]}


def change(a, b):
    if not isinstance(a, (int, float)) or not isinstance(b, (int, float)):
        return ""
    return "%+.1f%%" % (100 * (b - a) / a) if a else ""


def main():
    if len(sys.argv) != 3:
        print("usage: bench_compare.py OLD NEW", file=sys.stderr)
        return 2
    old, new = load(sys.argv[1]), load(sys.argv[2])
    for name in list(old) + [n for n in new if n not in old]:
        a, b = old.get(name, {}), new.get(name, {})
        print("\n%-30s %14s %14s" % (name, "old", "new"))
        for key in list(a) + [k for k in b if k not in a]:
            x, y = a.get(key), b.get(key)
            if key in ("name", "faults") or (x is None and y is None):
                continue
            print("  %-28s %14s %14s %9s" % (key, show(x), show(y),
                                             change(x, y)))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Compares what the backend servers ran with what the customers were told."""

import json
from collections import Counter


def read_lines(path):
    with open(path) as fp:
        for line in fp:
            try:
                yield json.loads(line)
            except ValueError:
                pass  # the last line of a killed process


def judge(calls, runs, stopped=()):
    """Counts each breach.

    calls: lines of bg-load; runs: lines of bg-backend; stopped: targets that
    were stopped as planned, whose calls must not be cut off.
    """
    runs = [r for r in runs if r["event"] == "start"]
    ran_ids = Counter(r["request_id"] for r in runs)
    told = list(calls)
    unsafe = set(c["id"] for c in told if c["method"] == "POST")
    return {
        "double_runs": sum(ran_ids[i] - 1 for i in unsafe if ran_ids[i] > 1),
        "false_not_run": sum(1 for c in told if c["outcome"] == "not-run"
                             and ran_ids[c["id"]] > 0),
        "wrong_answers": sum(1 for c in told if c["outcome"] == "done"
                             and not c["own"]),
        "cut_requests": sum(1 for c in told if c["outcome"] == "no-answer"
                            and (not stopped or c["target"] in stopped)),
    }


def share_of_version(runs, service, version, start_us, end_us):
    """Share of a service's runs that went to a version."""
    own = [r for r in runs if r["event"] == "start"
           and r["service"] == service
           and start_us <= r["start_us"] <= end_us]
    new = sum(1 for r in own if r["version"] == version)
    return new / len(own) if own else None

"""Moves to good and bad versions under load."""

import re
import time

import measure
from cluster import Cluster
from harness import (PROMISED_S, Load, judge_figures, mix_path, new_run,
                     ready_cluster)
from judge import share_of_version

MOVE_RATE = 300  # gives the rarest route about 12 calls a second

MOVES = {
    "belanger": [
        ("2.0", {"catalogue": ("same", []),
                 "atelier": ("faster", ["--service-time-us", "2000"]),
                 "expedition": ("cold", ["--cold-start-ms", "5000"])}),
        ("3.0", {"catalogue": ("fail", ["--fault", "fail"]),
                 "atelier": ("fail-later", ["--fault", "fail-after-s:8"]),
                 "expedition": ("slow", ["--fault", "slow:300"])}),
    ],
    "inzira": [
        ("2.0", {"catalogue": ("noisy", ["--fault", "fail:0.003"]),
                 "orders": ("same", []),
                 "printing": ("faster", ["--service-time-us", "2000"])}),
        # 40 ms, and 400 ms (above slow_ms) from two calls at a time on.
        ("3.0", {"catalogue": ("slow-under-load",
                               ["--service-time-us", "40000",
                                "--fault", "slow-load:2"]),
                 "orders": ("fail-later", ["--fault", "fail-after-calls:20"]),
                 "printing": ("one-route", ["--fault",
                                            "fail@/printing/proofs"])}),
    ],
}
FIRST_FAILURE_S = {"fail-later": 8}
# A move starts up to 1 s after its servers were started, and the status text is
# polled every 0.2 s.
MOVE_GRACE_S = 1.5
# Bad versions start once the good ones are done, or after this time: a move
# that is late would otherwise delay the next one of its service.
GOOD_WAIT_S = 42
BAD_WAIT_S = 32


def await_states(cluster, services, state, version, timeout_s):
    """Seconds until each service's status line has the state, or None."""
    start = time.monotonic()
    out = dict.fromkeys(services)
    while None in out.values() and time.monotonic() - start < timeout_s:
        text = cluster.servers[0].status()
        for name in services:
            if out[name] is None and re.search(
                    r"^%s %s version=%s " % (state, name, version), text, re.M):
                out[name] = time.monotonic() - start
        time.sleep(0.2)
    return out


def failed_since_us(runs, service, version, kind, begin_us):
    """Start of the first run that the fault touched."""
    own = sorted(r["start_us"] for r in runs if r["event"] == "start" and
                 r["service"] == service and r["version"] == version and
                 (kind != "one-route" or r["route"].startswith(
                     "/printing/proofs")))
    if kind == "fail-later" and service == "orders":
        return own[20] if len(own) > 20 else None
    later = begin_us + 1000000 * FIRST_FAILURE_S.get(kind, 0)
    return next((t for t in own if t >= later), None)


def judge_bad_move(runs, service, version, kind, begin_us):
    own = [r["start_us"] for r in runs if r["event"] == "start" and
           r["service"] == service and r["version"] == version]
    first = failed_since_us(runs, service, version, kind, begin_us)
    return {
        "share": share_of_version(runs, service, version, min(own), max(own))
        if own else 0.0,
        "calls": len(own),
        "last_call_ms": (max(own) - first) / 1000 if first else None,
    }


def run_moves(user, seed):
    with Cluster(user, seed=seed) as cl:
        cl.populate()
        run = new_run("moves-" + user, len(cl.servers), seed)
        ready_cluster(cl, spare=8)
        watch = measure.StatusWatch(cl)
        load = Load(cl, [s.customer for s in cl.servers], MOVE_RATE, 80,
                    mix_path(user), attempts=3)
        details = []
        try:
            for (version, versions), state, wait_s in zip(
                    MOVES[user], ("done", "rolled back"),
                    (GOOD_WAIT_S, BAD_WAIT_S)):
                begin_us = time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6
                for name, (kind, extra) in versions.items():
                    for dc in range(3):
                        cl.add(dc, name, version).start(extra)
                took = await_states(cl, versions, state, version, wait_s)
                for name, (kind, _) in versions.items():
                    line = [l for l in cl.servers[0].status().splitlines()
                            if " %s version=" % name in l]
                    details.append({"service": name, "kind": kind,
                                    "last_line": line[0] if line else "",
                                    "version": version, "expected": state,
                                    "took_s": took[name],
                                    "begin_us": begin_us})
            summary, calls = load.finish()
        finally:
            load.kill()
            watch.stop()
        runs = cl.runs()
        good = [d for d in details if d["expected"] == "done"]
        bad = [d for d in details if d["expected"] != "done"]
        for d in bad:
            d.update(judge_bad_move(runs, d["service"], d["version"],
                                    d["kind"], d["begin_us"]))
        last = [d["last_call_ms"] for d in bad]
        run.update(judge_figures(cl, calls, watch))
        run.update(
            calls=summary["calls"], call_summary=summary, moves=details,
            good_moves=len(good),
            good_moves_in_time=sum(
                d["took_s"] is not None and
                d["took_s"] <= PROMISED_S + MOVE_GRACE_S for d in good),
            bad_moves=len(bad),
            bad_moves_taken_back=sum(d["took_s"] is not None for d in bad),
            bad_moves_out_of_time=sum(
                "promised_time_passed" in d["last_line"] for d in bad),
            bad_share_max=max(d["share"] for d in bad),
            bad_last_call_ms=None if None in last else max(last))
    return run

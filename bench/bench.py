"""Measures fleets of real processes and writes build/bench/report.json.

Runs in the order of importance; a run that does not fit into the time limit is
listed in the report's `skipped`. See docs/CAPACITY.md for what the figures are
used for.
"""

import argparse
import json
import os
import re
import signal
import sys
import threading
import time
import traceback

import measure
from cluster import BACKEND_OFFSET, Cluster, end_on_signal
from faults import run_faults
from harness import (SETTLE_S, USER_RATE, Load, accept, copy_questionnaires,
                     judge_figures, lookups, measure_changes, mix_path,
                     more_questionnaires, new_run, ready_cluster)
from moves import run_moves
from report import print_table, write_svg

LIMIT_S = 480
IDLE_S = 5
# Longest time a run has taken so far, rounded up; 45 s for the others.
RESERVE_S = {"moves": 110, "faults": 75}
LOOKUP_RATE = 200
LATENCY_SERVICE_US = 500  # longer ones hide the added time in their spread


def run_sweep(name, nodes, seed, data_centres=None, services=3):
    run = new_run(name, nodes, seed)
    with Cluster("belanger", seed=seed, use_proxy=False,
                 data_centres=data_centres) as cl:
        cl.populate_bare(nodes)
        cl.start()
        files = copy_questionnaires(cl)
        more_questionnaires(cl, files, services)
        accept(cl, files.values())
        run.update(services=services, data_centres=len(cl.data_centres))
        cl.wait_synced(60)
        time.sleep(SETTLE_S)
        idle = measure.idle_figures(cl, IDLE_S)
        run.update(idle)
        run.update(measure_changes(cl, files["catalogue"], 5, idle))
        run["version_regressions"] = measure.version_regressions(cl)
    return run


def sweep_runs(seed):
    sweeps = [("sweep-%d" % n, n, {}) for n in (12, 25, 50, 100, 200)]
    # Data centres and services of the target size; see docs/CAPACITY.md.
    sweeps += [("sweep-100-6dc", 100,
                {"data_centres": ["dc-%d" % i for i in range(6)]}),
               ("sweep-50-140services", 50, {"services": 140})]
    for name, nodes, options in sweeps:
        yield (name, lambda a=name, n=nodes, o=options:
               run_sweep(a, n, seed, **o))


def run_user(user, seed):
    """A user's fleet with its link delays, its mix and no failures."""
    with Cluster(user, seed=seed) as cl:
        cl.populate()
        run = new_run(user, len(cl.servers), seed)
        files = ready_cluster(cl)
        idle = measure.idle_figures(cl, IDLE_S)
        run.update(idle)
        watch = measure.StatusWatch(cl)
        before = measure.Sample(cl)
        load = Load(cl, [s.customer for s in cl.servers], USER_RATE, 12,
                    mix_path(user), attempts=3)
        try:
            time.sleep(1)
            run.update(measure_changes(cl, files["catalogue"], 5, idle))
            summary, calls = load.finish()
        finally:
            load.kill()
            watch.stop()
        after = measure.Sample(cl)
        run.update(judge_figures(cl, calls, watch))
        run.update(calls=summary["calls"], call_summary=summary)
        # Of all nodes together, with the control traffic and status polls.
        cpu = sum(after.cpu[n] - before.cpu[n] for n in after.cpu)
        run["cpu_us_per_call"] = 1e6 * cpu / summary["calls"]
        rates = measure.control_rates(before, after).values()
        run["control_bytes_per_node_s_loaded"] = sum(rates) / len(rates)
        # Under load, the difference to idle is mostly status and records.
        run["control_bytes_per_change"] = None
    return run


def latency_side(cluster, target, mix, name):
    load = Load(cluster, [target], LOOKUP_RATE, 4, mix, name=name)
    try:
        calls = load.finish()[1]
    finally:
        load.kill()
    good = [c["latency_us"] for c in calls if c["status"] == 200]
    if len(good) != len(calls):
        raise RuntimeError("%s: %d of %d calls failed" % (
            name, len(calls) - len(good), len(calls)))
    return good


def run_latency(seed):
    """Lookups through the node of another server against direct calls to the
    only backend server of the service: the whole path of two nodes."""
    with Cluster("belanger", seed=seed, use_proxy=False,
                 service_time_us=LATENCY_SERVICE_US) as cl:
        catalogue = cl.add(0, "catalogue", "1.0")
        entry = cl.add(0, "atelier", "1.0")
        cl.add(0, "expedition", "1.0")
        run = new_run("latency", len(cl.servers), seed)
        ready_cluster(cl)
        mix = lookups(cl)
        rounds = []
        for i in range(3):
            direct = latency_side(cl, catalogue.address(BACKEND_OFFSET), mix,
                                  "direct%d" % i)
            node = latency_side(cl, entry.direct, mix, "node%d" % i)
            rounds.append([(measure.percentile(node, p),
                            measure.percentile(direct, p))
                           for p in (500, 990)])
            run["calls"] = (run["calls"] or 0) + len(node) + len(direct)
        for i, name in enumerate(("p50", "p99")):
            added = sorted(r[i][0] - r[i][1] for r in rounds)
            run["added_%s_us" % name] = added[1]
            run["added_%s_rounds_us" % name] = added
            run["direct_%s_us" % name] = sorted(r[i][1] for r in rounds)[1]
    return run


def run_overload(seed):
    """Goodput: answers within the deadline, a second."""
    with Cluster("belanger", seed=seed, use_proxy=False,
                 service_time_us=40000) as cl:
        cl.populate()
        run = new_run("overload", len(cl.servers), seed)
        ready_cluster(cl)
        capacity = (cl.user["services"]["catalogue"] * cl.user["slots"] /
                    0.040)
        mix = lookups(cl)
        goodput = {}
        all_calls = []
        for factor in (0.9, 2, 5):
            load = Load(cl, [s.direct for s in cl.servers], capacity * factor,
                        5, mix, name="over%g" % factor, deadline_ms=1000)
            try:
                calls = load.finish()[1]
            finally:
                load.kill()
            good = sum(1 for c in calls if c["outcome"] == "done" and
                       c["latency_us"] <= 1000000)
            goodput["%g" % factor] = good / 5
            all_calls += calls
            time.sleep(1)
        run.update(judge_figures(cl, all_calls, None))
        run.update(calls=len(all_calls), goodput_per_s=goodput,
                   capacity_per_s=capacity,
                   goodput_ratio_at_2x=goodput["2"] / max(goodput.values()),
                   goodput_ratio_at_5x=goodput["5"] / max(goodput.values()))
    return run


def at_once(*runs):
    """Runs at the same time; these are judged by counts, not by latencies."""
    results = [None] * len(runs)

    def call(i):
        try:
            results[i] = runs[i]()
        except Exception as err:  # raised again below, in the main thread
            traceback.print_exc()
            results[i] = err
    threads = [threading.Thread(target=call, args=(i,))
               for i in range(len(runs))]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return results


def user_runs(seed):
    yield "belanger", lambda: run_user("belanger", seed)
    yield "inzira", lambda: run_user("inzira", seed)
    yield "latency", lambda: run_latency(seed)
    yield "overload", lambda: run_overload(seed)
    yield "faults", lambda: at_once(lambda: run_faults("belanger", seed),
                                    lambda: run_faults("inzira", seed))
    yield "moves", lambda: at_once(lambda: run_moves("belanger", seed),
                                   lambda: run_moves("inzira", seed))


RUNS = [sweep_runs, user_runs]


def write_report(report, out_dir):
    os.makedirs(out_dir, exist_ok=True)
    with open(os.path.join(out_dir, "report.json"), "w") as fp:
        json.dump(report, fp, indent=1)
        fp.write("\n")
    write_svg(report, os.path.join(out_dir, "report.svg"))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="regular expression of runs")
    parser.add_argument("--out", default="build/bench")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--limit-s", type=float, default=LIMIT_S)
    args = parser.parse_args()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_on_signal)
    report = {"date": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
              "runs": [], "failed": [], "skipped": []}
    start = time.monotonic()
    for name, run in [r for group in RUNS for r in group(args.seed)]:
        if not re.search(args.only, name):
            continue
        if time.monotonic() - start > args.limit_s - RESERVE_S.get(name, 45):
            report["skipped"].append(name)
            continue
        began = time.monotonic()
        try:
            result = run()
            for one in result if isinstance(result, list) else [result]:
                if isinstance(one, Exception):
                    report["failed"].append({"name": name, "reason": str(one)})
                else:
                    report["runs"].append(one)
        except Exception as err:  # one failed run must not hide the others
            traceback.print_exc()
            report["failed"].append({"name": name, "reason": str(err)})
        print("%s took %.1f s" % (name, time.monotonic() - began),
              file=sys.stderr, flush=True)
        write_report(report, args.out)
    print_table(report)
    return 1 if report["failed"] or report["skipped"] else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs a fleet in which every other node comes from an older build, as during
an upgrade: the older build writes the configuration, half of its nodes are
replaced by the new build, and a change, a move, a rollback, two kills and a cut
go through under load.

    BG_BIN=build/bin python3 bench/mixed.py --old-bin DIR

DIR holds `burdockgrade` and `burdockgraded` of the older build. The stand-ins
and the load come from BG_BIN. Prints the figures as JSON and ends with 0 if
every check holds.
"""

import argparse
import json
import os
import re
import signal
import sys
import time
from collections import Counter

import measure
from cluster import Cluster, bin_path, end_on_signal, wait_for
from harness import (PROMISED_S, USER_RATE, Convergence, Load, judge_figures,
                     mix_path, ready_cluster)
from moves import await_states

SENT = re.compile(r" call sent request=\S+ .* to=(\S+) ")
INVALID = re.compile(r" link invalid message ")
MUST_BE_ZERO = ("double_runs", "false_not_run", "wrong_answers",
                "version_regressions", "untrue_status_lines",
                "convergence_missed", "invalid_messages", "failed_commands")
LOAD_S = 70
CUT_S = 5
# Links that a cut has silenced are replaced within 2.5 s, and the status text
# speaks of a data centre again once its nodes have confirmed.
HEAL_S = 8


def set_build(server, old_bin, is_old):
    server.is_old = is_old
    server.node_bin = (os.path.join(old_bin, "burdockgraded") if is_old
                       else bin_path("burdockgraded"))


def upgrade_half(cluster, old_bin):
    """Stops every other node of the older build and starts the new one."""
    for server in cluster.servers[::2]:
        server.node.stop()
        set_build(server, old_bin, False)
        server.start_node()
    cluster.wait_synced()


def add_version(cluster, old_bin, service, version, extra=()):
    """Starts three servers of a version; the middle node is an old one."""
    for dc in range(3):
        server = cluster.add(dc, service, version)
        set_build(server, old_bin, dc == 1)
        server.start(extra)


def kill_and_restart(cluster, conv, is_old):
    """Returns (server, start, end) of the time without the node."""
    server = next(s for s in cluster.servers[1:] if s.is_old == is_old)
    start_s = time.time()
    server.node.kill()
    time.sleep(3)
    conv.change()
    restart_s = time.time()
    server.start_node()
    wait_for("restarted node in force", lambda: measure.first_in_force(
        server, 1, restart_s))
    return server, start_s, time.time()


def cut_and_heal(cluster):
    """Returns (data centre, start, end) of the time without its links."""
    dc = cluster.data_centres[1]
    start_s = time.time()
    cluster.cut(dc)
    time.sleep(CUT_S)
    cluster.set_delays()
    time.sleep(HEAL_S)
    return dc, start_s, time.time()


def passes(cluster):
    """Counts calls that one node passed to another, by the builds of both."""
    builds = {s.mesh: "old" if s.is_old else "new" for s in cluster.servers}
    count = Counter()
    for server in cluster.servers:
        with open(server.node.log_path, errors="replace") as fp:
            for to in SENT.findall(fp.read()):
                if to in builds and to != server.mesh:
                    count["%s to %s" % (builds[server.mesh], builds[to])] += 1
    return dict(count)


def invalid_messages(cluster):
    count = 0
    for server in cluster.servers:
        with open(server.node.log_path, errors="replace") as fp:
            count += len(INVALID.findall(fp.read()))
    return count


def failed_commands(cluster, old_bin):
    """Runs the reading commands of both builds on what the fleet wrote."""
    nodes = ",".join(s.direct for s in cluster.servers)
    failed = 0
    for cli_bin in (bin_path("burdockgrade"),
                    os.path.join(old_bin, "burdockgrade")):
        cluster.cli_bin = cli_bin
        for argv in (["status"], ["history", "catalogue"],
                     ["report", "burn", "--node", nodes]):
            code, text = cluster.cli(*argv, check=False)
            if code != 0:
                failed += 1
                print("%s %s: exit %d: %s" % (cli_bin, " ".join(argv), code,
                                              text.strip()), file=sys.stderr)
    return failed


def run_mixed(old_bin, seed):
    with Cluster("belanger", seed=seed) as cl:
        cl.populate()
        for server in cl.servers:
            set_build(server, old_bin, True)
        cl.cli_bin = os.path.join(old_bin, "burdockgrade")
        files = ready_cluster(cl, spare=4)
        upgrade_half(cl, old_bin)
        conv = Convergence(cl, files["catalogue"])
        watch = measure.StatusWatch(cl)
        load = Load(cl, [s.customer for s in cl.servers], USER_RATE, LOAD_S,
                    mix_path("belanger"), attempts=3)
        try:
            conv.change()
            cl.cli_bin = bin_path("burdockgrade")
            conv.change()
            add_version(cl, old_bin, "catalogue", "2.0")
            done = await_states(cl, ["catalogue"], "done", "2.0",
                                PROMISED_S + 2)
            add_version(cl, old_bin, "atelier", "2.0", ["--fault", "fail"])
            back = await_states(cl, ["atelier"], "rolled back", "2.0",
                                PROMISED_S + 2)
            spans = [kill_and_restart(cl, conv, True),
                     kill_and_restart(cl, conv, False), cut_and_heal(cl)]
            conv.change()
            summary, calls = load.finish()
        finally:
            load.kill()
            watch.stop()
        out = judge_figures(cl, calls, watch, excused=spans)
        out.update(conv.figures())
        out.update(calls=summary["calls"], done=summary["done"],
                   move_done_s=done["catalogue"],
                   rolled_back_s=back["atelier"], passes=passes(cl),
                   invalid_messages=invalid_messages(cl),
                   failed_commands=failed_commands(cl, old_bin))
    return out


def is_clean(figures):
    both_ways = ("old to new", "new to old")
    return (not any(figures[name] for name in MUST_BE_ZERO) and
            figures["done"] > 0 and
            figures["move_done_s"] is not None and
            figures["rolled_back_s"] is not None and
            all(figures["passes"].get(way, 0) > 0 for way in both_ways))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--old-bin", required=True)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_on_signal)
    figures = run_mixed(os.path.abspath(args.old_bin), args.seed)
    print(json.dumps(figures, indent=1))
    return 0 if is_clean(figures) else 1


if __name__ == "__main__":
    sys.exit(main())

"""A user's fleet under failure."""

import time

import measure
from cluster import Cluster, wait_for
from harness import (USER_RATE, Convergence, Load, judge_figures, mix_path,
                     new_run, ready_cluster)


def silence_rules(cluster):
    """Every open connection between data centres goes silent."""
    return [{"source": a.prefix, "target": b.prefix, "silence": True}
            for a in cluster.data_centres for b in cluster.data_centres
            if a is not b]


def run_faults(user, seed):
    faults = ["node-killed", "data-centre-cut-5s", "platform-outage-5s",
              "connections-silent", "node-stopped"]
    with Cluster(user, seed=seed) as cl:
        cl.populate()
        run = new_run(user + "-faults", len(cl.servers), seed, faults)
        files = ready_cluster(cl)
        conv = Convergence(cl, files["catalogue"])
        watch = measure.StatusWatch(cl)
        load = Load(cl, [s.customer for s in cl.servers], USER_RATE, 40,
                    mix_path(user), attempts=3)
        try:
            spans, stopped, exit_us = inject_faults(cl, conv)
            summary, calls = load.finish()
        finally:
            load.kill()
            watch.stop()
        # The fault proxy accepts what the leaving node refuses: a new
        # connection that is closed unused is no call that was cut off. On a
        # connection in use, only a call that arrives after the exit is not.
        last_us = exit_us - 2000 * cl.user["client_ms"]
        late = [c for c in calls if c["outcome"] == "no-answer" and
                c["target"] == stopped.customer and
                (c["fresh"] or c["sent_us"] > last_us)]
        ids = set(id(c) for c in late)
        run.update(judge_figures(cl, [c for c in calls if id(c) not in ids],
                                 watch, [stopped.customer], spans))
        run["refused_after_exit"] = len(late)
        run.update(conv.figures())
        run.update(calls=summary["calls"], call_summary=summary,
                   stop_exit_code=stopped.node.child.returncode)
    return run


def inject_faults(cl, conv):
    """Returns (spans excused from `done`, stopped server, time of its
    exit)."""
    time.sleep(2)
    killed = next(s for s in cl.servers
                  if s.data_centre is cl.data_centres[0])
    killed_s = time.time()
    killed.node.kill()
    time.sleep(6)
    conv.change()
    restart_s = time.time()
    killed.start_node()
    wait_for("restarted node in force", lambda: measure.first_in_force(
        killed, 1, restart_s))
    spans = [(killed, killed_s, time.time())]
    time.sleep(2)
    cut = cl.data_centres[1]
    start_s = time.time()
    cl.cut(cut)
    time.sleep(5)
    cl.set_delays()
    # Silent links are replaced within 2.5 s.
    spans.append((cut, start_s, time.time() + 8))
    time.sleep(2)
    conv.change()
    cl.platform_control(outage=True)
    time.sleep(5)
    cl.platform_control(outage=False)
    time.sleep(1)
    conv.change()
    cl.proxy_rules(silence_rules(cl) + cl.delay_rules())
    cl.set_delays()
    time.sleep(1)
    conv.change()
    stopped = next(s for s in reversed(cl.servers)
                   if s is not killed and s.service == "catalogue")
    stopped.node.stop()
    exit_us = measure.stopped_us(stopped)
    conv.change()
    return spans, stopped, exit_us

"""Reads what nodes, logs and the processor say about a running fleet."""

import calendar
import os
import re
import threading
import time

IN_FORCE = re.compile(r"^(\S+Z) \S+ INFO config in force version=(\d+)", re.M)
STATUS = re.compile(r"^(done|in progress|rolled back) (\S+) version=(\S+) "
                    r"config=(\d+) ", re.M)
CLOCK_TICKS_S = os.sysconf("SC_CLK_TCK")
CONTROL_METRICS = ("burdock_control_sent_bytes_total",
                   "burdock_control_received_bytes_total")


def parse_time(text):
    """Seconds since the epoch of a log line's time stamp."""
    whole, _, fraction = text.rstrip("Z").partition(".")
    at = calendar.timegm(time.strptime(whole, "%Y-%m-%dT%H:%M:%S"))
    return at + float("0." + (fraction or "0"))


def percentile(values, permille):
    """Nearest rank; None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * permille // 1000)]


def in_force(server):
    """[(time, version)] in the order of the node's log."""
    with open(server.node.log_path, errors="replace") as fp:
        return [(parse_time(t), int(v)) for t, v in IN_FORCE.findall(fp.read())]


def stopped_us(server):
    """When a node ended its event loop, on the clock of bg-load. Waiting for
    the process tells it up to 50 ms late."""
    with open(server.node.log_path, errors="replace") as fp:
        lines = [line for line in fp if line.endswith(" node stopped\n")]
    wall_s = parse_time(lines[-1].split(" ", 1)[0])
    offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)
    return (wall_s - offset_s) * 1e6


def first_in_force(server, version, since_s):
    """Time at which a node had the version or a newer one, or None."""
    for at, held in in_force(server):
        if held >= version and at >= since_s - 0.001:
            return at
    return None


def is_running(server):
    return server.node is not None and server.node.child.poll() is None


def running(cluster):
    return [s for s in cluster.servers if is_running(s)]


def cpu_s(pid):
    with open("/proc/%d/stat" % pid) as fp:
        fields = fp.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_S


def rss_bytes(pid):
    with open("/proc/%d/status" % pid) as fp:
        for line in fp:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


class Sample:
    """Counters of a fleet at one time."""

    def __init__(self, cluster):
        self.at = {}
        self.control = {}
        self.cpu = {}
        for s in running(cluster):
            metrics = s.metrics()
            if CONTROL_METRICS[0] not in metrics:
                continue
            self.at[s.name] = time.monotonic()
            self.control[s.name] = sum(metrics.get(m, 0)
                                       for m in CONTROL_METRICS)
            self.cpu[s.name] = cpu_s(s.node.child.pid)
        self.platform_at = time.monotonic()
        self.platform = cluster.platform_stats()


def control_rates(before, after):
    """Control bytes a second of each node that is in both samples."""
    return {n: (after.control[n] - before.control[n]) /
               (after.at[n] - before.at[n])
            for n in after.at if n in before.at}


def idle_figures(cluster, seconds):
    before = Sample(cluster)
    time.sleep(seconds)
    after = Sample(cluster)
    rates = list(control_rates(before, after).values())
    cpu = [100 * (after.cpu[n] - before.cpu[n]) / (after.at[n] - before.at[n])
           for n in after.at if n in before.at]
    took = after.platform_at - before.platform_at
    rss = [rss_bytes(s.node.child.pid) for s in running(cluster)]
    return {
        "control_bytes_per_node_s": sum(rates) / len(rates),
        "control_bytes_max_node_s": max(rates),
        "platform_reads_per_s":
            (after.platform["reads"] - before.platform["reads"]) / took,
        "platform_writes_per_s":
            (after.platform["writes"] - before.platform["writes"]) / took,
        "platform_watches": after.platform["watches"],
        "node_cpu_pct": sum(cpu) / len(cpu),
        "node_cpu_max_pct": max(cpu),
        "node_rss_max_bytes": max(rss),
        "node_rss_mean_bytes": sum(rss) / len(rss),
    }


class StatusWatch:
    """Polls the status text of the nodes in turn while a run lasts."""

    def __init__(self, cluster, interval_s=0.1):
        self.cluster = cluster
        self.interval_s = interval_s
        self.seen = []
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.poll, daemon=True)
        self.thread.start()

    def poll(self):
        turn = 0
        while not self.over.wait(self.interval_s):
            servers = running(self.cluster)
            if not servers:
                continue
            server = servers[turn % len(servers)]
            turn += 1
            text = server.status()
            for line in STATUS.findall(text):
                self.seen.append((time.time(), server) + line)

    def stop(self):
        self.over.set()
        self.thread.join()

    def untrue(self, excused=()):
        """Counts `done` lines that a node in force on an older version
        contradicts.

        excused: (data centre or server, start_s, end_s), in which it was cut
        off or not running and so is not required for `done`.
        """
        held = {s: in_force(s) for s in running(self.cluster)}
        count = 0
        for at, server, state, _, _, config in self.seen:
            if state != "done":
                continue
            for other, log in held.items():
                if any(a <= at <= b and what in (
                        other, other.data_centre, server.data_centre)
                       for what, a, b in excused):
                    continue
                # A node that was not in force at all was not a live member.
                versions = [v for t, v in log if t <= at + 0.001]
                if versions and versions[-1] < int(config):
                    count += 1
                    break
        return count


def version_regressions(cluster):
    """Steps back to an older version, over all restarts of a node."""
    count = 0
    for s in cluster.servers:
        if s.node is None:
            continue
        versions = [v for _, v in in_force(s)]
        count += sum(1 for a, b in zip(versions, versions[1:]) if b < a)
    return count

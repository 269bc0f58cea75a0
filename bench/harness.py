"""What the runs of bench.py share: a ready fleet, load, changes of the
configuration and the judgement of what customers saw."""

import json
import os
import re
import subprocess
import time

import measure
from cluster import CHILDREN, bin_path, wait_for
from judge import judge, read_lines
from report import FIGURES

HERE = os.path.dirname(os.path.abspath(__file__))
SETTLE_S = 3  # announcements and the first comparisons take about 2 s
CONVERGE_TIMEOUT_S = 15
# Without a pause, 100 nodes that read the platform themselves reach its limit
# of 2000 reads a second, and it refuses the next accept.
ACCEPT_GAP_S = 0.5
ACCEPT_ATTEMPTS = 10
PROMISED_S = 30
USER_RATE = 200


def new_run(name, nodes, seed, faults=()):
    run = dict.fromkeys(FIGURES)
    run.update(name=name, nodes=nodes, seed=seed, faults=list(faults))
    return run


def copy_questionnaires(cluster):
    """Copies the user's questionnaires, with a promised time of PROMISED_S."""
    out = {}
    for path in cluster.questionnaires():
        name = os.path.basename(path)[:-len(".toml")]
        out[name] = os.path.join(cluster.dir, os.path.basename(path))
        with open(path) as fp:
            text = fp.read()
        text = re.sub(r"take_over_s = \d+", "take_over_s = %d" % PROMISED_S,
                      text)
        text = re.sub(r"start = \"\w+\"", 'start = "auto"', text)
        with open(out[name], "w") as fp:
            fp.write(text)
    return out


def accept(cluster, files):
    """Returns (start time, version, attempts that the platform's rate limit
    refused before)."""
    for refused in range(ACCEPT_ATTEMPTS):
        start_s = time.time()
        code, text = cluster.cli("accept", *files, check=False)
        if code == 0:
            return (start_s, int(re.search(r"config=(\d+)", text).group(1)),
                    refused)
        if "(limit)" not in text:
            break
        time.sleep(ACCEPT_GAP_S)
    raise RuntimeError("accept: exit %d: %s" % (code, text.strip()))


class Convergence:
    """Accepts small changes and collects the delay of each node."""

    def __init__(self, cluster, questionnaire):
        self.cluster = cluster
        self.path = questionnaire
        self.delays_ms = []
        self.accepts = 0
        self.refused = 0
        self.missed = 0

    def change(self):
        with open(self.path) as fp:
            text = fp.read()
        text = re.sub(r"deadline_ms = (\d+)",
                      lambda m: "deadline_ms = %d" % (int(m.group(1)) + 1),
                      text, count=1)
        with open(self.path, "w") as fp:
            fp.write(text)
        time.sleep(ACCEPT_GAP_S)
        start_s, version, refused = accept(self.cluster, [self.path])
        self.accepts += 1
        self.refused += refused
        pending = measure.running(self.cluster)
        end = time.monotonic() + CONVERGE_TIMEOUT_S
        while pending and time.monotonic() < end:
            left = []
            for s in pending:
                at = measure.first_in_force(s, version, start_s)
                if at is not None:
                    self.delays_ms.append(1000 * (at - start_s))
                elif measure.is_running(s):
                    left.append(s)
            pending = left
            time.sleep(0.05)
        self.missed += len(pending)

    def figures(self):
        """A node that missed a version within the time-out makes p99 and max
        unknown, since they would be too good without it."""
        full = not self.missed
        return {
            "accepts": self.accepts,
            "accepts_refused_by_limit": self.refused,
            "convergence_missed": self.missed,
            "convergence_p50_ms": measure.percentile(self.delays_ms, 500),
            "convergence_p99_ms":
                measure.percentile(self.delays_ms, 990) if full else None,
            "convergence_max_ms":
                max(self.delays_ms) if full and self.delays_ms else None,
        }


def measure_changes(cluster, questionnaire, accepts, idle):
    """Convergence, and control bytes of the fleet a change above idle."""
    conv = Convergence(cluster, questionnaire)
    before = measure.Sample(cluster)
    for _ in range(accepts):
        conv.change()
    time.sleep(1)  # the summaries that confirm the last version
    after = measure.Sample(cluster)
    extra = sum(after.control[n] - before.control[n] -
                idle["control_bytes_per_node_s"] *
                (after.at[n] - before.at[n])
                for n in after.at if n in before.at)
    out = conv.figures()
    out["control_bytes_per_change"] = extra / accepts
    return out


def more_questionnaires(cluster, files, count):
    """Adds copies of the catalogue's questionnaire under other names."""
    with open(files["catalogue"]) as fp:
        text = fp.read()
    for i in range(count - len(files)):
        name = "service-%03d" % i
        files[name] = os.path.join(cluster.dir, name + ".toml")
        with open(files[name], "w") as fp:
            fp.write(text.replace("catalogue", name))


class Load:
    """bg-load as a child process."""

    def __init__(self, cluster, targets, rate, seconds, mix, name="load",
                 attempts=1, deadline_ms=2000):
        self.cluster = cluster
        self.log = os.path.join(cluster.dir, name + ".jsonl")
        argv = [bin_path("bg-load"), "--mix", mix, "--rate", str(rate),
                "--seconds", str(seconds), "--attempts", str(attempts),
                "--deadline-ms", str(deadline_ms), "--log", self.log,
                "--source", cluster.client_ip, "--name", name,
                "--seed", str(cluster.seed)]
        for t in targets:
            argv += ["--target", t]
        self.seconds = seconds
        self.child = subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)
        CHILDREN.append(self.child)

    def finish(self):
        """Returns (summary, log lines)."""
        out, _ = self.child.communicate(timeout=self.seconds + 30)
        return json.loads(out), list(read_lines(self.log))

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
            self.child.wait()


def mix_path(user):
    return os.path.join(HERE, "mix", user + ".json")


def write_mix(cluster, name, kinds):
    path = os.path.join(cluster.dir, name + ".json")
    with open(path, "w") as fp:
        json.dump(kinds, fp)
    return path


def lookups(cluster):
    return write_mix(cluster, "lookups", [
        {"method": "GET", "path": "/catalogue/stock/%d", "weight": 1}])


def judge_figures(cluster, calls, watch, stopped=(), excused=()):
    """Counts of breaches; `dangling_routes` are 404 answers to paths that an
    accepted questionnaire has."""
    out = judge(calls, cluster.runs(), stopped)
    out["dangling_routes"] = sum(1 for c in calls if c["status"] == 404)
    out["version_regressions"] = measure.version_regressions(cluster)
    if watch is not None:
        out["untrue_status_lines"] = watch.untrue(excused)
    return out


def ready_cluster(cluster, spare=0):
    """Starts a populated cluster; returns its questionnaires."""
    cluster.start(spare=spare)
    files = copy_questionnaires(cluster)
    accept(cluster, files.values())
    cluster.wait_synced(60)
    for service in set(s.service for s in cluster.servers):
        wait_for("%s done" % service, lambda: re.search(
            r"^done %s version=1.0 " % service, cluster.servers[0].status(),
            re.M))
    time.sleep(SETTLE_S)
    return files

"""The whole path with real processes under failure: a graceful stop, the death
of a node and a cut between data centres, all under load. Guards against runs
that double, requests that a planned stop cuts off, work for a server that left,
and answers that are not true."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

from cluster import Cluster, bin_path, wait_for  # noqa: E402
from judge import judge, read_lines  # noqa: E402

RATE = 40
LOAD_S = 24
# A leaving server gets no new work after this time, anywhere.
LEAVING_BOUND_US = 3000000


class WholePath(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster("belanger")
        self.addCleanup(self.cluster.stop)
        self.cluster.populate({"catalogue": 6, "atelier": 3, "expedition": 3})
        self.cluster.start()

    def start_load(self, targets):
        cl = self.cluster
        self.log = os.path.join(cl.dir, "calls.jsonl")
        argv = [bin_path("bg-load"), "--mix",
                os.path.join(HERE, "mix", "belanger.json"), "--rate",
                str(RATE), "--seconds", str(LOAD_S), "--attempts", "5",
                "--deadline-ms", "4000", "--log", self.log, "--source",
                cl.client_ip]
        for s in targets:
            argv += ["--target", s.customer]
        return subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)

    def ready(self):
        cl = self.cluster
        cl.cli("accept", *cl.questionnaires())
        cl.wait_synced()
        for service in ("catalogue", "atelier", "expedition"):
            wait_for("done %s" % service, lambda: any(
                line.startswith("done %s version=1.0 " % service)
                for line in cl.servers[0].status().splitlines()), 30, 0.1)

    def now_us(self):
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000

    def test_failures_under_load(self):
        cl = self.cluster
        self.ready()
        leaver = next(s for s in cl.servers if s.service == "catalogue")
        victim = next(s for s in cl.servers if s.service == "catalogue"
                      and s.data_centre is not leaver.data_centre)
        load = self.start_load([s for s in cl.servers
                                if s not in (leaver, victim)])
        time.sleep(3)
        left_us = self.now_us()
        leaver.node.signal(signal.SIGTERM)
        time.sleep(4)
        victim.node.kill()
        time.sleep(4)
        cl.cut(cl.data_centres[2], cl.data_centres[0])
        time.sleep(4)
        cl.set_delays()
        out, _ = load.communicate(timeout=120)
        result = json.loads(out)
        self.assertGreater(result["done"], RATE * LOAD_S // 2, result)
        self.assertEqual(leaver.node.child.wait(60), 0)

        verdict = judge(read_lines(self.log), cl.runs())
        print(json.dumps(result), json.dumps(verdict))
        for name in ("double_runs", "false_not_run", "wrong_answers"):
            self.assertEqual(verdict[name], 0, verdict)
        late = [r for r in read_lines(leaver.run_log)
                if r["event"] == "start"
                and r["start_us"] > left_us + LEAVING_BOUND_US]
        self.assertEqual(late, [])


if __name__ == "__main__":
    unittest.main()

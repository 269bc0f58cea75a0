"""Promises to operators and backend servers, with real processes that the
users' platform manages. Each test names the failure that it guards against."""

import os
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

from cluster import wait_for  # noqa: E402
from managed import DRAIN_S, Fleet, Server  # noqa: E402


class Restart(unittest.TestCase):
    """What a node acknowledged holds after its process has ended."""

    def setUp(self):
        self.fleet = Fleet(["orders", "other"])
        self.addCleanup(self.fleet.stop)
        self.node, self.sender = self.fleet.nodes
        self.fleet.accept(1, "orders")
        for node in self.fleet.nodes:
            node.start()
        for node in self.fleet.nodes:
            node.wait_ready()
        self.server = Server(self.node, "server-1")
        self.addCleanup(self.server.stop)
        self.server.deliver(self.server.ping("ready"))
        wait_for("order served", lambda: self.sender.order()[0] == 200)

    def restart(self):
        self.node.kill()
        self.node.start()
        self.node.wait_ready()

    def assert_unused(self, acked):
        """Orders of either node do not reach the server any more."""
        time.sleep(max(0.0, acked + DRAIN_S - time.monotonic()))
        count = len(self.server.runs)
        for _ in range(20):
            self.sender.order()
            self.node.order()
            time.sleep(0.05)
        self.assertEqual(len(self.server.runs), count)

    def test_late_heartbeat_of_a_server_that_left(self):
        """Guards against a restarted node that takes a late heartbeat for a new
        server and uses a server that has left (review/1: DRAIN)."""
        late = self.server.ping("ready")
        self.assertEqual(self.server.deregister(), 200)
        acked = time.monotonic()
        wait_for("announced", lambda: self.sender.order()[0] == 503)
        self.restart()
        self.assertEqual(self.server.deliver(late), 200)
        self.assert_unused(acked)

    def test_leaving_that_nothing_else_knows(self):
        """Guards against the acknowledgement of a leaving that ends with the
        process that gave it."""
        self.sender.kill()
        self.fleet.control(outage="silent")
        self.assertNotEqual(self.server.deregister(), 200)
        self.fleet.control(outage=False)
        wait_for("acknowledged", lambda: self.server.deregister() == 200)

    def test_new_server_after_a_restart(self):
        """Guards against a new server that is shut out because another one left
        before the restart."""
        self.assertEqual(self.server.deregister(), 200)
        self.restart()
        self.server.id = "server-2"
        self.server.born += 1000
        self.server.sequence = 0
        self.assertEqual(self.server.deliver(self.server.ping("ready")), 200)
        wait_for("order served", lambda: self.sender.order()[0] == 200)


if __name__ == "__main__":
    unittest.main()

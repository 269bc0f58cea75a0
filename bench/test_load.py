"""What bg-load counts if the answers of its target are broken."""

import json
import os
import socketserver
import subprocess
import sys
import tempfile
import threading
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

from cluster import bin_path  # noqa: E402

MIX = [{"method": "GET", "path": "/x", "weight": 1}]


class Handler(socketserver.StreamRequestHandler):
    def handle(self):
        while self.rfile.readline() not in (b"\r\n", b""):
            pass
        self.wfile.write(self.server.answer)


class BrokenAnswers(unittest.TestCase):
    def counts(self, status):
        """Returns what bg-load counts if a node says "done" in answers with
        this status."""
        server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        server.daemon_threads = True
        self.addCleanup(server.server_close)
        server.answer = (b"HTTP/1.1 %s X\r\nBurdock-Outcome: done\r\n"
                         b"Connection: close\r\nContent-Length: 6\r\n\r\n"
                         b"secret" % status)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.shutdown)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as mix:
            json.dump(MIX, mix)
            mix.flush()
            out = subprocess.run(
                [bin_path("bg-load"), "--target",
                 "127.0.0.1:%d" % server.server_address[1], "--mix", mix.name,
                 "--rate", "50", "--seconds", "0.5", "--seed", "7"],
                stdout=subprocess.PIPE, check=True, timeout=30).stdout
        counts = json.loads(out)
        self.assertGreater(counts["calls"], 0)
        return counts

    def test_status_000(self):
        """Guards against an answer with the status 000 that counts as done, or
        as a call that was not sent."""
        counts = self.counts(b"000")
        self.assertEqual(counts["no_answer"], counts["calls"])

    def test_status_600(self):
        """Guards against an answer with such a status that counts as sound."""
        counts = self.counts(b"600")
        self.assertEqual(counts["wrong"], counts["calls"])


if __name__ == "__main__":
    unittest.main()

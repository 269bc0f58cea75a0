"""Guards against status lines and versions that the bench misjudges."""

import os
import sys
import unittest
from unittest import mock

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import measure  # noqa: E402


class FakeServer:
    def __init__(self, data_centre, log):
        self.data_centre = data_centre
        self.log = log


class UntrueTest(unittest.TestCase):
    def setUp(self):
        self.old = FakeServer("a", [(1.0, 1), (9.0, 2)])
        self.new = FakeServer("b", [(1.0, 1), (2.0, 2)])
        self.watch = measure.StatusWatch.__new__(measure.StatusWatch)
        self.watch.cluster = None
        self.watch.seen = [(5.0, self.new, "done", "catalogue", "1.0", "2")]

    def untrue(self, excused=()):
        with mock.patch.object(measure, "running",
                               lambda cl: [self.old, self.new]), \
                mock.patch.object(measure, "in_force", lambda s: s.log):
            return self.watch.untrue(excused)

    def test_done_before_every_node_is_counted(self):
        self.assertEqual(self.untrue(), 1)

    def test_node_that_was_not_running_is_not_required(self):
        self.assertEqual(self.untrue([(self.old, 4.0, 6.0)]), 0)

    def test_excuse_ends_with_its_span(self):
        self.assertEqual(self.untrue([(self.old, 1.0, 4.0)]), 1)


class PercentileTest(unittest.TestCase):
    def test_nothing_measured_is_none(self):
        self.assertIsNone(measure.percentile([], 990))


if __name__ == "__main__":
    unittest.main()

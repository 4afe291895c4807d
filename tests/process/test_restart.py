"""Crashes of a server that is started again at once."""

import unittest

from support import CrashCase


class RestartTest(CrashCase):
    def test_fast_restart_does_not_hide_a_crash(self):
        """Guards against two crashes that count as one because the platform
        starts the server again within milliseconds."""
        answers, crashed = self.send_crashing(restart_seconds=0)
        self.assertLessEqual(len(crashed), 2, answers)
        self.assertGreaterEqual(len(crashed), 1, "the request was never run")


if __name__ == "__main__":
    unittest.main()

"""Requests that arrive at any moment of a planned stop."""

import random
import time

import test_planned_stop


class AnyMomentTest(test_planned_stop.PlannedStopFixture):
    def test_taken_at_any_moment(self):
        """Guards against requests that are taken late in the grace time, passed on with more
        time than is left, and cut at its end; and against refusing what can still end."""
        for index, service in enumerate(self.services):
            self.set_slots(index, service, 400)
        start = time.monotonic() + 0.5
        for tenth in range(0, 40):
            at = start + tenth / 10 + random.Random(tenth).random() / 10
            for path in ("long-far/x", "long-near/x"):
                for work in (20, 3000):
                    self.post(at, f"{path}?work={work}")
                    self.post(at, f"{path}?work={work}", kept=True)
        lines = self.stop_node(start)
        self.assert_truthful(lines)
        early = [request.answers[0][0] for request in self.requests
                 if 0 < request.sent_at < start + 2 and b"work=20 " in request.parts[0][1]]
        self.assertEqual(set(early), {200}, f"they could end: {self.reasons(lines)}")

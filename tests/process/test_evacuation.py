"""Evacuation of a zone and limits on cold servers, with agents on loopback addresses."""

import http.client
import threading
import time

from agent_fleet import HOSTS, AgentFleetTest, configuration, entry

EVACUATE_S = 5.0  # A call may reach a server of the zone for this long.
CALLS = 15


class EvacuationTest(AgentFleetTest):
    """Each service has a server in the zone z and one in the zone y."""

    services = ("one", "two", "one", "two")
    names = ("one", "two", "one-y", "two-y")
    zones = ("z", "z", "y", "y")

    def setUp(self):
        super().setUp()
        # The nodes of both zones serve.
        self.wait_for(lambda: self.call_all() == {200})

    def arrived(self, *servers):
        return sum(len(self.backends[server].seen) for server in servers)

    def refused_there(self):
        """Counts the calls that a node of the zone refused, over both ingresses."""
        total = 0
        for host in (HOSTS[0], HOSTS[2]):
            own = http.client.HTTPConnection(host, self.ports["metrics"], timeout=5)
            own.request("GET", "/metrics")
            for line in own.getresponse().read().decode().splitlines():
                if line.startswith("pollenwick_replacements_total") and "zone-evacuated" in line:
                    total += int(line.split()[-1])
            own.close()
        return total

    def call_all(self):
        """Calls both services at a node of each zone; returns the answers' codes."""
        return {self.call(path, host=host)[0] for _ in range(CALLS)
                for host in (HOSTS[0], HOSTS[2]) for path in ("near/x", "far/x")}

    def test_zone_is_evacuated_and_given_back(self):
        """Guards against calls that reach an evacuated zone: from its own callers,
        after the restart of a node there, or while the store is away."""
        self.assertEqual(self.call_all(), {200})
        self.assertGreater(self.arrived(0, 1), 0)
        running = []
        caller = threading.Thread(
            target=lambda: running.append(self.call("near/x?work=1500", host=HOSTS[0])[0]))
        caller.start()
        self.wait_for(lambda: "/near/x?work=1500" in [
            path for backend in self.backends for path, _, _ in backend.seen])
        self.store.put("op/evacuate/z", "")
        caller.join()
        self.assertEqual(running, [200], "a running call finishes")
        time.sleep(EVACUATE_S)
        before, refused = self.arrived(0, 1), self.refused_there()
        self.assertEqual(self.call_all(), {200})
        self.assertEqual(self.refused_there(), refused, "an ingress still sends there")
        self.store.put("op/config", configuration(2))
        self.agents[0].kill()
        self.agents[0].wait()
        self.agents[0].stdout.close()
        self.agents[0] = self.start_agent("one")
        self.wait_for(lambda: self.call("near/x", host=HOSTS[0])[0] == 200)
        self.assertEqual(self.call_all(), {200})
        self.store.down = True
        time.sleep(0.5)
        self.assertEqual(self.call_all(), {200})
        self.store.down = False
        self.assertEqual(self.arrived(0, 1), before)
        self.store.remove("op/evacuate/z")
        self.wait_for(lambda: self.call_all() == {200} and self.arrived(0, 1) > before)

    def test_all_zones(self):
        """Guards against an evacuation of all zones that is not obeyed, and against
        other keys under the prefix that are taken for a configuration."""
        self.store.put("op/other", "not json")
        self.store.put("op/evacuate/", "")
        self.store.put("op/evacuate/no-such-zone", "not json")
        time.sleep(1.0)
        self.assertEqual(self.call_all(), {200})
        self.store.put("op/evacuate/z", "")
        self.store.put("op/evacuate/y", "")
        time.sleep(EVACUATE_S)
        before = self.arrived(0, 1, 2, 3)
        status, body, headers = self.call("near/x")
        self.assertEqual((status, self.arrived(0, 1, 2, 3)), (503, before))
        self.assertIn(b"zone-evacuated", body)
        self.assertIn("Retry-After", headers)
        self.store.remove("op/evacuate/y")
        self.wait_for(lambda: self.call("near/x")[0] == 200)


class ColdServerTest(AgentFleetTest):
    COLD_PER_S = 3
    BOUND = COLD_PER_S * 1.5 + 8

    def test_cold_server_gets_few_calls(self):
        """Guards against a server that crashes because it gets more calls than it
        tolerates after a start, also when the node beside it restarts."""
        cold = configuration(2)
        cold["services"]["columns"] += ["cold_start_s", "cold_per_s"]
        for row in cold["services"]["rows"]:
            row += [3.0, float(self.COLD_PER_S)]
        self.store.put("op/config", cold)
        server = self.backends[1]
        self.wait_for(lambda: server.health_requests > 0)
        server.health_headers[1] = ("X-Pollenwick-Cold-Ms", "60000")
        self.store.put("servers/i-two", entry(
            "two", f"{HOSTS[1]}:{self.app_port}", cold_ms=60000))
        time.sleep(1.5)
        first = len(server.arrivals)
        answers = []

        def keep_calling(until):
            while time.monotonic() < until:
                try:
                    answers.append(self.call("far/x")[0])
                except OSError:
                    pass
                time.sleep(0.02)

        callers = [threading.Thread(target=keep_calling, args=(time.monotonic() + 6,))
                   for _ in range(4)]
        for caller in callers:
            caller.start()
        time.sleep(3)
        self.agents[1].kill()
        self.agents[1].wait()
        self.agents[1].stdout.close()
        self.agents[1] = self.start_agent("two")
        for caller in callers:
            caller.join()
        arrivals = server.arrivals[first:]
        peak = max(sum(1 for at in arrivals if begin <= at < begin + 1) for begin in arrivals)
        self.assertGreater(len(arrivals), self.COLD_PER_S)
        self.assertLessEqual(peak, self.BOUND)
        self.assertIn(503, answers)
        server.health_headers[1] = ("X-Pollenwick-Cold-Ms", "0")
        self.wait_for(lambda: [self.call("far/x")[0] for _ in range(20)] == [200] * 20)

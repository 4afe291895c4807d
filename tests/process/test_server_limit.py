"""Limits that backend servers name in their answers, with agents on loopback addresses."""

import threading
import time

from agent_fleet import HOSTS, AgentFleetTest, entry

LIMIT_PER_S = 5.0
WINDOW_S = 4.0
BOUND = 1.5 * LIMIT_PER_S * WINDOW_S + 5
HEARD_S = 3.0  # The bound holds this long after the limit was first named.


class TwoServersTest(AgentFleetTest):
    """The service two has two servers. Callers enter at two nodes that keep running."""

    services = ("one", "two", "two", "one")
    names = ("one", "two", "two-b", "one-b")
    INGRESSES = (HOSTS[0], HOSTS[3])
    CALLERS = 4  # For each ingress; about 30 calls a second in all for each server.

    def setUp(self):
        super().setUp()
        self.wait_for(lambda: all(self.call("far/x", host=host)[0] == 200
                                  for host in self.INGRESSES for _ in range(10)))
        self.answers = []
        for server in self.backends[1:3]:
            server.delay = 0.05

    def keep_calling(self, seconds, callers_each=CALLERS):
        """Starts the callers; returns a function that waits for their end."""
        until = time.monotonic() + seconds

        def run(host):
            while time.monotonic() < until:
                try:
                    self.answers.append(self.call("far/x", host=host))
                except OSError:
                    pass
                time.sleep(0.07)

        callers = [threading.Thread(target=run, args=(host,))
                   for host in self.INGRESSES for _ in range(callers_each)]
        for caller in callers:
            caller.start()
        return lambda: [caller.join() for caller in callers]

    def name_limit(self, *servers, limit=LIMIT_PER_S):
        for server in servers:
            self.backends[server].notices = [("X-Pollenwick-Server-Limit", str(limit))]

    def restart(self, agent):
        self.agents[agent].kill()
        self.agents[agent].wait()
        self.agents[agent].stdout.close()
        self.agents[agent] = self.start_agent(self.names[agent])

    def peak(self, server, since):
        arrivals = [at for at in self.backends[server].arrivals if at >= since]
        return max((sum(1 for at in arrivals if begin <= at < begin + WINDOW_S)
                    for begin in arrivals), default=0)

    def statuses(self):
        return {status for status, _, _ in self.answers}

class ServerLimitTest(TwoServersTest):
    def test_one_server_names_a_limit(self):
        """Guards against a server in need that gets what it got before."""
        self.name_limit(1)
        wait = self.keep_calling(HEARD_S + 6)
        since = time.monotonic() + HEARD_S
        wait()
        self.assertLessEqual(self.peak(1, since), BOUND)
        self.assertGreater(self.peak(1, since), LIMIT_PER_S * WINDOW_S * 0.7, "wasted")
        self.assertEqual(self.statuses(), {200}, "the other server has room")

    def test_node_beside_the_server_restarts(self):
        """Guards against a limit that is lost with the process of the node beside
        the server, while the nodes where the requests begin know it."""
        self.name_limit(1)
        self.keep_calling(HEARD_S)()
        since = time.monotonic()
        # Until a new process has an answer of the server, all slots could fill.
        self.backends[1].delay = 1.0
        self.store.put("servers/i-two", entry("two", f"{HOSTS[1]}:{self.app_port}", slots=60))
        wait = self.keep_calling(9, callers_each=25)
        for _ in range(2):
            time.sleep(3)
            self.restart(1)
        wait()
        self.assertLessEqual(self.peak(1, since), BOUND)

    def test_all_servers_name_limits(self):
        """Guards against a refusal that is late, untrue or without a time to come
        back when no server of the service may take more."""
        self.name_limit(1, 2)
        wait = self.keep_calling(HEARD_S + 6)
        since = time.monotonic() + HEARD_S
        wait()
        self.assertLessEqual(self.peak(1, since), BOUND)
        self.assertLessEqual(self.peak(2, since), BOUND)
        self.assertEqual(self.statuses(), {200, 503})
        refused = [headers for status, _, headers in self.answers if status == 503]
        self.assertTrue(all("Retry-After" in headers for headers in refused))
        ran = sum(1 for status, _, _ in self.answers if status == 200)
        seen = sum(1 for server in (1, 2) for at in self.backends[server].arrivals)
        self.assertGreaterEqual(ran, 2 * LIMIT_PER_S * 0.7 * (HEARD_S + 6))
        self.assertLessEqual(ran, seen)

    def test_limit_ends(self):
        """Guards against a limit that outlives the server's need."""
        self.name_limit(1, limit=0)
        self.keep_calling(HEARD_S)()
        self.backends[1].notices = []
        self.keep_calling(4)()
        since = time.monotonic()
        self.keep_calling(3)()
        self.assertGreater(self.peak(1, since), 30)


class ServerLeavingTest(TwoServersTest):
    DRAIN_S = 2.0  # A node that has heard of it may send for this long.

    def setUp(self):
        super().setUp()
        self.backends[1].notices = [("X-Pollenwick-Server-Leaving", "1")]
        # Each node at which requests begin passes such an answer on.
        for host in self.INGRESSES:
            self.wait_for(lambda host=host: "X-Pollenwick-Server-Leaving"
                          in self.call("far/x", host=host)[2]
                          or self.arrivals_stopped())

    def arrivals_stopped(self):
        before = len(self.backends[1].arrivals)
        time.sleep(0.5)
        return len(self.backends[1].arrivals) == before

    def test_leaving_server_gets_no_more(self):
        """Guards against requests for a server that has said that it ends: from
        nodes that passed that on, after restarts of the node beside it, and when
        its entry was away for a moment."""
        time.sleep(self.DRAIN_S)
        before = len(self.backends[1].arrivals)
        wait = self.keep_calling(6)
        self.restart(1)
        time.sleep(2)
        self.store.remove("servers/i-two")
        time.sleep(1)
        self.store.put("servers/i-two", entry("two", f"{HOSTS[1]}:{self.app_port}"))
        self.restart(1)
        wait()
        self.assertEqual(len(self.backends[1].arrivals), before)
        self.assertEqual(self.statuses(), {200}, "the other server has room")

    def test_new_run_of_the_server_gets_requests(self):
        """Guards against a server that gets nothing because an earlier run of it,
        with the same id, has ended."""
        time.sleep(1)
        self.backends[1].notices = []
        before = len(self.backends[1].arrivals)
        self.store.put("servers/i-two",
                       dict(entry("two", f"{HOSTS[1]}:{self.app_port}"), born=2))
        time.sleep(1)
        self.keep_calling(2)()
        self.assertGreater(len(self.backends[1].arrivals), before + 5)

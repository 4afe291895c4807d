"""A confirmed change is in force in time, whatever trouble the store had.

The four nodes share one availability zone, so that some of them read the store
and the others hear of changes from their peers.
"""

import http.client
import json
import signal
import time

from agent_fleet import HOSTS, AgentFleetTest, configuration, entry

# Bounds of the users' platform: a change is in force so long after it was
# confirmed, at nodes that have reached an untroubled store for so long.
APPLY_S = 2.0
CONTACT_S = 3.0
TROUBLE_S = 2.5

NEW_ROUTE = ["new", "a.example", "/new/", "safe", 3000, 1000, 0, None, 2, False, "one"]
THREE = ["three", "a.example", "/three/", "safe", 3000, 1000, 0, None, 2, False, "three"]
SMALL_CUSTOMER = ["t-small", ["k-small"], 1, 1, 1]


def first_configuration(version):
    return configuration(version, keys=("k-1", "k-old"), routes=[THREE],
                         tenants=[["t-small", ["k-small"], 1, 500, 500]])


def last_configuration(version):
    """Another route, a withdrawn and a new key, a lower quota, another customer."""
    return configuration(version, keys=("k-1", "k-new"), routes=[THREE, NEW_ROUTE],
                         tenants=[SMALL_CUSTOMER, ["t-added", ["k-added"], 1, 500, 500]])


class StoreTroublesTest(AgentFleetTest):
    services = ("one", "two", "three", "four")

    def setUp(self):
        super().setUp()
        self.wait_for(lambda: self.first_is_in_force(2))

    def first_is_in_force(self, version):
        if version > self.written_version():
            self.store.put("op/config", first_configuration(version))
        return all(self.call("three/x", host=host, key="k-old")[0] == 200 for host in HOSTS)

    def written_version(self):
        return int(self.store.items["op/config"][1]["version"], 16)

    def metric(self, host, name):
        connection = http.client.HTTPConnection(host, self.ports["metrics"], timeout=5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        return next(int(line.split()[-1]) for line in text.splitlines()
                    if line.startswith(f"pollenwick_{name} "))

    def readers(self):
        return [host for host in HOSTS if self.metric(host, "source_reading") == 1]

    def not_in_force(self, host):
        """Returns what of the last configuration the node does not follow, with
        the status of its answer."""
        found = {name: (status, self.call(path, host=host, key=key)[0])
                 for name, status, path, key in (
                     ("route", 200, "new/x", "k-1"),
                     ("withdrawn key", 401, "near/x", "k-old"),
                     ("new key", 200, "near/x", "k-new"),
                     ("customer", 200, "near/x", "k-added"),
                     ("departed server", 503, "three/x", "k-1"))}
        used = [self.call("near/x", host=host, key="k-small")[0] for _ in range(6)]
        found["quota"] = (429, 429 if 429 in used else used[0])
        return {name: status for name, (expected, status) in found.items()
                if status != expected}

    def put_server(self, service, state, slots):
        host = HOSTS[self.services.index(service)]
        record = entry(service, f"{host}:{self.app_port}", state)
        record["info"]["slots"] = slots
        self.store.put(f"servers/i-{service}", record)

    def trouble_after_a_change(self, trouble, troubled=(), meanwhile=lambda: None):
        """Readers ask for the next change just when the trouble begins. It ends
        before the last change is confirmed."""
        self.store.put("op/config", first_configuration(self.written_version() + 1))
        self.put_server("three", "ready", slots=9)
        time.sleep(0.1)
        self.store.troubled = troubled
        self.store.trouble = trouble
        meanwhile()
        time.sleep(TROUBLE_S)
        self.store.trouble = None
        end = time.monotonic()
        if trouble == "muted":
            self.store.forget_history()
        time.sleep(CONTACT_S - APPLY_S)
        self.store.put("op/config", last_configuration(self.written_version() + 1))
        self.put_server("three", "draining", slots=9)
        time.sleep(max(0, end + CONTACT_S - time.monotonic()))
        for host in HOSTS:
            self.assertEqual(self.not_in_force(host), {}, f"{host} after {trouble}")

    def test_silent_store(self):
        """Guards against a watch without an answer that is waited for after the
        store has returned, while confirmed changes are not in force."""
        self.trouble_after_a_change("silent")

    def test_refusing_store(self):
        self.trouble_after_a_change("busy")

    def test_store_with_too_many_calls(self):
        self.trouble_after_a_change("many")

    def test_resetting_store(self):
        self.trouble_after_a_change("reset")

    def test_slow_store(self):
        self.trouble_after_a_change("slow")

    def test_store_that_forgets_its_history(self):
        """Guards against changes that a watch did not report before the store
        dropped them."""
        self.trouble_after_a_change("muted", meanwhile=lambda: self.store.put(
            "op/config", last_configuration(self.written_version() + 1)))

    def test_store_that_is_silent_for_some_nodes(self):
        """Guards against nodes that rely on a reader which the store ignores."""
        self.wait_for(lambda: len(self.readers()) < len(HOSTS))
        readers = self.readers()
        self.trouble_after_a_change("silent", troubled=readers)

    def test_silent_store_and_a_frozen_node(self):
        """Guards against a node that wakes up beside a silent store and holds on
        to what it had."""
        def freeze():
            self.agents[0].send_signal(signal.SIGSTOP)
            time.sleep(1.0)
            self.agents[0].send_signal(signal.SIGCONT)

        self.trouble_after_a_change("silent", meanwhile=freeze)

    def test_silent_store_and_a_restarted_node(self):
        """Guards against a node that starts beside a silent store and waits for
        its first answer."""
        def restart():
            self.agents[1].kill()
            self.agents[1].wait()
            self.agents[1].stdout.close()
            self.agents[1] = self.start_agent("two")

        self.trouble_after_a_change("silent", meanwhile=restart)

    def test_node_restarts_while_the_store_is_away(self):
        """Guards against a node that refuses all requests until the store is back,
        although its peers know what is in force."""
        self.store.trouble = "busy"
        time.sleep(0.5)
        self.agents[1].kill()
        self.agents[1].wait()
        self.agents[1].stdout.close()
        self.agents[1] = self.start_agent("two")
        self.wait_for(lambda: self.call("near/x", host=HOSTS[1])[0] == 200, seconds=4)
        self.wait_for(lambda: self.call("far/x", host=HOSTS[0])[0] == 200, seconds=2)
        self.assertEqual(self.call("near/x", host=HOSTS[1], key="k-none")[0], 401)
        self.store.trouble = None
        self.store.put("op/config", last_configuration(9))
        self.wait_for(lambda: self.call("new/x", host=HOSTS[1])[0] == 200)

    def test_entry_of_another_writer_at_the_address_of_a_server(self):
        """Guards against an entry that names no server and hides one: its service
        is none of the configuration's."""
        self.store.put("servers/i-other", entry("nowhere", f"{HOSTS[1]}:{self.app_port}"))
        time.sleep(1.0)
        self.assertEqual({self.call("far/x", host=host)[0]
                          for host in HOSTS for _ in range(3)}, {200})
        # A server of a service that comes with the next configuration.
        self.store.remove("servers/i-two")
        self.store.remove("servers/i-other")
        self.store.put("servers/i-new", entry("five", f"{HOSTS[1]}:{self.app_port}"))
        later = first_configuration(9)
        later["routes"]["rows"].append(
            ["five", "a.example", "/five/", "safe", 3000, 1000, 0, None, 2, False, "five"])
        later["services"]["rows"].append(["five", "/healthz", 50])
        self.store.put("op/config", later)
        self.wait_for(lambda: self.call("five/x")[0] == 200)

    def test_held_records_are_logged(self):
        """Guards against a log that does not say what is in force, how old it is
        and who has read it."""
        self.store.put("op/config", last_configuration(9))
        self.wait_for(lambda: all(self.call("new/x", host=host)[0] == 200 for host in HOSTS))
        for agent in self.agents:
            agent.send_signal(signal.SIGTERM)
        for agent in self.agents:
            agent.wait(timeout=6)
            lines = [json.loads(line) for line in agent.stdout]
            held = [line for line in lines if line["event"] == "records-held"][-1]
            self.assertEqual(held["rules_version"], 9)
            self.assertIn(held["rules_read_by"], HOSTS)
            self.assertIn(held["servers_read_by"], HOSTS)
            self.assertGreaterEqual(held["rules_age_ms"], 0)


if __name__ == "__main__":
    import unittest
    unittest.main()

"""Two agents on loopback addresses, with stand-ins for the users' platform."""

import http.client
import json
import random
import signal
import socket
import subprocess
import threading
import time
import unittest

from agent_fleet import AGENT, HOSTS, AgentFleetTest, configuration, entry
from standin_platform import ID_HEADER, KEY_HEADER

SEED = 20261204
GARBAGE_ROUNDS = 30


class AgentTest(AgentFleetTest):
    def test_summary_counts_all_requests(self):
        """Guards against requests that end without a place in the summary of a day."""
        for _ in range(5):
            self.call("far/x")
        self.assertEqual(self.call("near/x", key="unknown")[0], 401)
        self.assertEqual(self.call("nowhere/x")[0], 404)
        self.agents[0].send_signal(signal.SIGTERM)
        log = self.agents[0].communicate(timeout=20)[0]
        shown = subprocess.run([AGENT.parent / "pollenwick-trace", "--summary", "--json", "-"],
                               input=log, capture_output=True, text=True, check=True)
        summary = json.loads(shown.stdout)
        reasons = {(end["hop"], end["reason"]) for group in summary["routes"]
                   for end in group["unanswered"]}
        self.assertIn(("ingress", "unknown-key"), reasons)
        self.assertIn(("ingress", "no-route"), reasons)
        answered = {group["name"]: group["in_target"] + group["late"]
                    for group in summary["customers"]}
        self.assertGreaterEqual(answered["t-1"], 5)
        self.assertEqual(summary["unreadable_rows"], 0)

    def test_call_passes_the_node_beside_the_server(self):
        """Guards against a key, or a forged header, that reaches a backend server."""
        forged = [("X-Pollenwick-Tenant-Id", "other"), ("X-Pollenwick-Caller-Service", "other")]
        status, body, _ = self.call("far/x?q=1", body=b"wick", headers=forged)
        self.assertEqual((status, body), (200, b"ran wick"))
        path, headers, _ = self.backends[1].seen[-1]
        self.assertEqual(path, "/far/x?q=1")
        self.assertNotIn(KEY_HEADER, headers)
        self.assertEqual(headers["X-Pollenwick-Tenant-Id"], "t-1")
        self.assertEqual(headers["X-Pollenwick-Caller-Service"], "one")
        self.assertEqual(headers["X-Pollenwick-Expected-Instance"], "i-two")
        self.assertLessEqual(int(headers["X-Pollenwick-Deadline-Ms"]), 3000)

    def test_refusals(self):
        """Guards against requests that run without route or key."""
        self.assertEqual(self.call("nowhere/x")[0], 404)
        self.assertEqual(self.call("near/x", key="k-unknown")[0], 401)
        self.assertEqual(self.call("near/x", key=None)[0], 401)
        self.assertEqual(self.call("open/x", key=None)[0], 200)

    def test_withdrawn_key_stops_on_an_open_connection(self):
        connection = http.client.HTTPConnection(HOSTS[0], self.ports["caller"], timeout=5)
        self.assertEqual(self.call("near/x", connection=connection)[0], 200)
        self.store.put("op/config", configuration(2, keys=("k-2",)))
        self.wait_for(lambda: self.call("near/x", connection=connection)[0] == 401, 2)
        connection.close()

    def test_outage_of_the_store(self):
        """Guards against servers that are dropped, or old rules that come back,
        when the store is away and returns."""
        self.store.down = True
        time.sleep(1.0)
        self.assertEqual(self.call("far/x")[0], 200)
        with self.store.changed:
            held = self.store.items.pop("servers/i-two")
        self.store.down = False
        time.sleep(0.8)
        self.assertEqual(self.call("far/x")[0], 200, "the entry may still come back")
        self.store.put("servers/i-two", held[1])
        time.sleep(2.5)
        self.assertEqual(self.call("far/x")[0], 200)

    def test_restarted_node_learns_nothing_old_from_its_peer(self):
        """Guards against a withdrawn key or a departed server that is in use
        again after a restart, through a peer that was frozen meanwhile. The
        store is away when the peer wakes up, so that only peers can tell."""
        self.agents[1].send_signal(signal.SIGSTOP)
        self.store.put("op/config", configuration(2, keys=("k-2",)))
        self.store.remove("servers/i-two")
        self.wait_for(lambda: self.call("near/x")[0] == 401, 3)
        self.agents[0].kill()
        self.agents[0].wait()
        self.agents[0].stdout.close()
        self.agents[0] = self.start_agent("one")
        self.wait_for(lambda: self.call("near/x", key="k-2")[0] == 200)
        self.store.down = True
        before = len(self.backends[1].seen)
        self.agents[1].send_signal(signal.SIGCONT)
        end = time.monotonic() + 3
        while time.monotonic() < end:
            self.assertEqual(self.call("near/x", key="k-1")[0], 401)
            self.assertEqual(self.call("far/x", key="k-2")[0], 503)
            time.sleep(0.05)
        self.assertEqual(len(self.backends[1].seen), before)
        # The peer has learnt the new state as well.
        self.assertEqual(self.call("near/x", host=HOSTS[1], key="k-1")[0], 401)

    def test_draining_server_gets_no_new_calls(self):
        address = "{}:{}".format(*self.backends[1].server.server_address)
        self.store.put("servers/i-two", entry("two", address, "draining"))
        self.wait_for(lambda: self.call("far/x")[0] == 503, 2)
        before = len(self.backends[1].seen)
        status, _, headers = self.call("far/x")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(len(self.backends[1].seen), before)

    def test_sigterm_answers_what_has_begun(self):
        self.backends[0].delay = 1.0
        results = []
        thread = threading.Thread(target=lambda: results.append(self.call("near/x")[0]))
        thread.start()
        time.sleep(0.3)
        self.agents[0].send_signal(signal.SIGTERM)
        thread.join()
        self.assertEqual(results, [200])
        self.assertEqual(self.agents[0].wait(timeout=5), 0)
        # Guards against a process that ends before its last lines are written.
        events = [json.loads(line)["event"] for line in self.agents[0].stdout]
        self.assertEqual(events[-2:], ["drain-finished", "stopped"])

    def test_sigterm_under_load_cuts_nothing_that_ran(self):
        """Guards against requests that a server ran, or that were just accepted,
        and whose connection a planned stop closes without an answer."""
        stop = threading.Event()
        cut, answered = [], []

        def post_until_closed():
            connection = None
            while not stop.is_set():
                request_id = f"{random.getrandbits(64):016x}"
                try:
                    connection = connection or http.client.HTTPConnection(
                        HOSTS[0], self.ports["caller"], timeout=8)
                    status, _, headers = self.call(
                        "far/x", body=b"deposit", connection=connection,
                        headers=[(ID_HEADER, request_id)])
                    answered.append(status)
                    if headers.get("Connection") == "close":
                        connection.close()
                        connection = None
                except (OSError, http.client.HTTPException):
                    cut.append(request_id)
                    connection = None
                    time.sleep(0.05)

        self.backends[1].delay = 0.02
        threads = [threading.Thread(target=post_until_closed) for _ in range(6)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        self.agents[0].send_signal(signal.SIGTERM)
        self.assertEqual(self.agents[0].wait(timeout=6), 0)
        stop.set()
        for thread in threads:
            thread.join()
        ran = {headers.get(ID_HEADER) for _, headers, _ in self.backends[1].seen}
        self.assertEqual([request_id for request_id in cut if request_id in ran], [])
        self.assertGreater(answered.count(200), 100)
        self.assertEqual(set(answered) - {200, 503}, set())

    def test_lost_connection_is_no_promise(self):
        """Guards against "not run" for a request that a server began to run
        before it ended (finding of the issue on fast restarts)."""
        self.backends[1].delay = 1.0
        results = []
        thread = threading.Thread(
            target=lambda: results.append(self.call("far/x", body=b"deposit")[0]))
        before = len(self.backends[1].seen)
        thread.start()
        self.wait_for(lambda: len(self.backends[1].seen) > before)
        self.agents[1].kill()
        thread.join()
        self.assertIn(results[0], (502, 504))

    def call_through_frozen_node(self, frozen_s, path="open/x", body=None, begun=lambda: None):
        """Returns the answer to a call that runs at the second server while its
        node is frozen, and the time that it took."""
        results = []
        thread = threading.Thread(target=lambda: results.append(self.call(path, body=body)))
        before, start = len(self.backends[1].seen), time.monotonic()
        thread.start()
        self.wait_for(lambda: len(self.backends[1].seen) > before)
        begun()
        self.agents[1].send_signal(signal.SIGSTOP)
        time.sleep(frozen_s)
        self.agents[1].send_signal(signal.SIGCONT)
        thread.join()
        self.assertEqual(len(self.backends[1].seen), before + 1)
        return results[0], time.monotonic() - start

    def test_running_call_outlives_the_silence_of_its_node(self):
        """Guards against running work that is given up because its node was
        silent for a while: the call was failed after 1.1 s of silence, although
        it ran on and no other server could take it."""
        self.backends[1].delay = 1.8
        self.assertEqual(self.call_through_frozen_node(1.5)[0][0], 200)

    def test_call_that_may_run_once_waits_for_its_silent_node(self):
        """Guards against a deposit that is started again, or reported as not
        run, because its node was silent for a while."""
        self.backends[1].delay = 0.3
        for frozen_s in (0.5, 1.5, 2.2):
            self.wait_for(lambda: self.call("far/x")[0] == 200)
            answer, _ = self.call_through_frozen_node(frozen_s, "far/x", b"deposit")
            self.assertEqual(answer[:2], (200, b"ran deposit"), frozen_s)

    def make_first_server_join(self):
        address = self.store_entry_address(0)
        self.store.put("servers/i-one", entry("two", address))

    def store_entry_address(self, index):
        return f"{HOSTS[index]}:{self.app_port}"

    def test_silent_node_is_bypassed_for_a_safe_call(self):
        """Guards against a safe request that waits for a silent node although
        another server could answer it, and against an answer of the silent node
        that is dropped because the request was sent elsewhere as well."""
        self.store.put("servers/i-one", entry("one", self.store_entry_address(0), "draining"))
        for first_delay, other_delay in ((1.7, 0.1), (1.6, 3.5)):
            self.backends[1].delay, self.backends[0].delay = first_delay, other_delay
            before = len(self.backends[0].seen)
            answer, seconds = self.call_through_frozen_node(
                1.5, begun=self.make_first_server_join)
            self.assertEqual(answer[0], 200)
            self.assertEqual(len(self.backends[0].seen), before + 1)
            self.assertLess(seconds, 2.5)
            self.store.put("servers/i-one",
                           entry("two", self.store_entry_address(0), "draining"))
            time.sleep(1.0)

    def test_lost_peer_is_logged(self):
        """Guards against a lost dependency of which the log says nothing."""
        self.agents[1].kill()
        time.sleep(1.0)
        self.agents[0].send_signal(signal.SIGTERM)
        self.assertEqual(self.agents[0].wait(timeout=5), 0)
        lines = [json.loads(line) for line in self.agents[0].stdout]
        lost = [line for line in lines if line["event"] == "peer-lost"]
        self.assertEqual([line["peer"] for line in lost], [HOSTS[1]])

    def test_garbage_on_every_port(self):
        rng = random.Random(SEED)
        for _ in range(GARBAGE_ROUNDS):
            for port in self.ports.values():
                with socket.create_connection((HOSTS[0], port), timeout=2) as peer:
                    peer.sendall(rng.randbytes(rng.randrange(1, 3000)))
        self.assertEqual(self.call("far/x")[0], 200)
        self.assertIsNone(self.agents[0].poll())

    def test_unreadable_records_change_nothing(self):
        """Guards against a process that ends, or stops to follow the list of
        servers, because of one odd entry of another writer."""
        odd = [{"address": "nowhere", "info": 7}, "[" * 100_000, "{\"address\":" * 50_000]
        for address in ("127.0.0.1:65536", "127.0.0.1:-1", "999.1.1.1:80", "1:2:3", ":80"):
            odd.append(entry("two", address))
        for field, value in (("slots", 1e300), ("slots", -1), ("slots", 10 ** 30)):
            record = entry("two", f"{HOSTS[1]}:{self.app_port}")
            record["info"][field] = value
            odd.append(record)
        record = entry("two", f"{HOSTS[1]}:{self.app_port}")
        record["status"]["cold_remaining_ms"] = 1e300
        odd += [record, dict(record, born=1e300)]
        self.store.put("op/config", "not json")
        for number, value in enumerate(odd):
            self.store.put(f"servers/i-odd-{number}", value)
        time.sleep(0.8)
        self.assertEqual(self.call("far/x")[0], 200)
        self.assertEqual([agent.poll() for agent in self.agents], [None, None])
        # The list is still followed.
        self.store.remove("servers/i-two")
        self.wait_for(lambda: self.call("far/x")[0] == 503, 2)

    def test_metrics(self):
        self.call("near/x")
        connection = http.client.HTTPConnection(HOSTS[0], self.ports["metrics"], timeout=5)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        self.assertIn('pollenwick_answers_total{kind="2xx"}', text)
        self.assertIn("pollenwick_answer_ms_bucket", text)


class SettingsTest(unittest.TestCase):
    def test_all_errors_at_once(self):
        result = subprocess.run([AGENT, "--retry_ratio=7", "--caller_address=x"],
                                env={}, capture_output=True, text=True, timeout=10)
        self.assertEqual(result.returncode, 2)
        for flag in ("--node_name", "--retry_ratio", "--caller_address", "--source_address"):
            self.assertIn(flag, result.stderr)


if __name__ == "__main__":
    unittest.main()

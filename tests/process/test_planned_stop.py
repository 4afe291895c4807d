"""A planned stop of one node: each request gets one truthful answer before the process ends."""

import collections
import http.client
import json
import random
import signal
import socket
import threading
import time
import unittest

from agent_fleet import HOSTS, AgentFleetTest, configuration, entry
from standin_platform import ID_HEADER, KEY_HEADER

GRACE_S = 4  # As in the settings of `AgentFleetTest`.
NOT_RUN = {408, 421, 429, 503}
# A request that is sent while the node closes its connection is not read.
CROSSING_S = 0.1


def long_routes():
    """Routes to both services whose timeout is far beyond the grace time."""
    return [["long-near", "a.example", "/long-near/", "unsafe", 20000, 1000, 0, None, 2, False,
             "one"],
            ["long-far", "a.example", "/long-far/", "unsafe", 20000, 1000, 0, None, 2, False,
             "two"]]


def read_answer(stream):
    """Returns status and body of one whole answer."""
    status = stream.readline().split(b" ")
    if len(status) < 2:
        raise ConnectionError("closed without an answer")
    headers = http.client.parse_headers(stream)
    length = int(headers["Content-Length"])
    body = stream.read(length)
    if len(body) < length:
        raise ConnectionError("closed within an answer")
    return int(status[1]), body


class Request(threading.Thread):
    """Sends requests over one connection, each at its time, and reads the answers.

    `parts` holds pairs of a time and bytes. `ids` names the requests in them.
    """

    def __init__(self, address, parts, ids, kept=False):
        super().__init__()
        self.address, self.parts, self.ids, self.kept = address, parts, ids, kept
        self.answers, self.sent_at, self.failed_at, self.error = [], 0, None, None
        self.connection = None

    def run(self):
        try:
            if self.kept:
                self.connection = socket.create_connection(self.address, timeout=12)
            for at, data in self.parts:
                time.sleep(max(0, at - time.monotonic()))
                if not self.kept:
                    self.connection = socket.create_connection(self.address, timeout=12)
                    self.kept = True
                self.sent_at = time.monotonic()
                self.connection.sendall(data)
            # One buffer for all answers, since several may arrive at once.
            with self.connection.makefile("rb") as stream:
                for _ in self.ids:
                    self.answers.append(read_answer(stream))
        except OSError as error:
            self.failed_at, self.error = time.monotonic(), repr(error)
        finally:
            if self.connection:
                self.connection.close()


class PlannedStopFixture(AgentFleetTest):
    def setUp(self):
        super().setUp()
        self.store.put("op/config", configuration(2, routes=long_routes()))
        self.wait_for(lambda: self.call("long-far/x")[0] == 200
                      and self.call("long-near/x", host=HOSTS[1])[0] == 200)
        self.requests, self.lines = [], []
        # Read all the time, since a full pipe would hold back the log.
        self.reader = threading.Thread(
            target=lambda: self.lines.extend(self.agents[0].stdout), daemon=True)
        self.reader.start()

    def set_slots(self, index, service, slots):
        changed = entry(service, f"{HOSTS[index]}:{self.app_port}")
        changed["info"]["slots"] = slots
        self.store.put(f"servers/i-{service}", changed)
        time.sleep(0.5)  # Until all nodes know of it.

    def message(self, method, path, body=b"", key="k-1", deadline_ms=20000):
        request_id = f"{random.getrandbits(64):016x}"
        head = (f"{method} /{path} HTTP/1.1\r\nHost: a.example\r\n{ID_HEADER}: {request_id}\r\n"
                f"X-Pollenwick-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n")
        if key:
            head += f"{KEY_HEADER}: {key}\r\n"
        return request_id, (head + "\r\n").encode() + body

    def send(self, parts, ids, host=HOSTS[0], kept=False):
        request = Request((host, self.ports["caller"]), parts, ids, kept)
        request.start()
        self.requests.append(request)
        return request

    def post(self, at, path, body=b"deposit", host=HOSTS[0], kept=False):
        request_id, data = self.message("POST", path, body)
        return self.send([(at, data)], [request_id], host, kept)

    def stop_node(self, at):
        """Sends SIGTERM at the time `at`. Returns the lines of the log once the process
        has ended; fails if that is later than its grace time."""
        time.sleep(max(0, at - time.monotonic()))
        self.stopped_at = time.monotonic()
        self.agents[0].send_signal(signal.SIGTERM)
        self.assertEqual(self.agents[0].wait(timeout=GRACE_S), 0)
        self.ended_at = time.monotonic()
        self.reader.join()
        return [json.loads(line) for line in self.lines]

    def assert_truthful(self, lines):
        """Each request that was read has one answer; a "not run" is and stays true."""
        for request in self.requests:
            request.join()
        time.sleep(1.5)  # Longer than a peer keeps the calls of a lost connection.
        begun = {headers.get(ID_HEADER) for _, headers, _ in
                 self.backends[0].seen + self.backends[1].seen}
        told = {line.get("request") for line in lines if line["event"] == "request-answered"}
        for request in self.requests:
            for request_id, answer in zip(request.ids, request.answers):
                if answer[0] in NOT_RUN:
                    self.assertFalse(request_id in begun, answer)
                if answer[0] in NOT_RUN | {502, 504} and request.address[0] == HOSTS[0]:
                    if b"deposit" not in answer[1] and b"ran" not in answer[1]:
                        self.assertTrue(request_id in told, f"no line for {answer}")
            if not request.sent_at:  # Its connection was not accepted.
                self.assertGreater(request.failed_at, self.stopped_at + 2, request.error)
                continue
            for request_id in request.ids[len(request.answers):]:
                self.assertFalse(request_id in begun, f"begun and cut: {request.error}")
                late = request.sent_at > self.ended_at - CROSSING_S
                crossed = request.failed_at - request.sent_at < CROSSING_S
                self.assertTrue(late or crossed,
                                f"read and cut {self.ended_at - request.sent_at:.2f} s before "
                                f"the end: {request.error}")

    def reasons(self, lines):
        return collections.Counter(line["reason"] for line in lines
                                   if line["event"] == "request-answered")

    def statuses(self):
        return [[answer[0] for answer in request.answers] for request in self.requests]


class PlannedStopTest(PlannedStopFixture):
    def test_running_and_waiting_at_the_end_of_the_grace(self):
        """Guards against requests that a planned stop cuts without an answer, and against
        one that waits at a peer and begins there after its caller is gone."""
        self.set_slots(1, "two", 1)
        start = time.monotonic()
        self.post(start, "long-far/x?work=5000")  # Runs at the peer at the end.
        for number in range(3):  # Wait at the peer.
            self.post(start + 0.2, "long-far/x?work=300")
        self.post(start, "long-near/x?work=5000")  # Runs at the own server at the end.
        self.post(start, "long-near/x?work=2500")
        self.post(start, "long-near/x?work=5000", host=HOSTS[1])  # Sent by a peer.
        lines = self.stop_node(start + 0.5)
        self.assert_truthful(lines)
        self.assertEqual([len(found) for found in self.statuses()], [1] * 7, self.statuses())
        running, *rest = self.statuses()
        self.assertIn(running[0], (502, 504))
        self.assertEqual(rest[:3], [[503]] * 3, "they had not begun")
        self.assertEqual(rest[4], [200])
        self.assertEqual(self.reasons(lines)["node-stopping"], 5, lines)

    def test_half_read_and_behind_another(self):
        """Guards against a half read upload, and a request that was read whole behind another
        one, whose connection is closed without an answer."""
        start = time.monotonic() + 0.3
        for rest_at in (1.0, 2.5, 3.0, 3.3, 3.5, 9.0):
            request_id, data = self.message("POST", "long-far/x?work=20", b"deposit")
            parts = [(start + 0.1, data[:-4]), (start + rest_at, data[-4:])]
            self.send(parts if rest_at < 4 else parts[:1], [request_id])
        for work in (500, 2200, 2700, 3100, 3600, 5000):
            first = self.message("POST", f"long-near/x?work={work}", b"deposit")
            more = [self.message("POST", "long-far/x?work=20", b"deposit"),
                    self.message("GET", "near/x"),
                    self.message("POST", "long-near/x?work=20", b"deposit")]
            self.send([(start, first[1] + b"".join(data for _, data in more))],
                      [first[0]] + [request_id for request_id, _ in more])
        lines = self.stop_node(start + 0.2)
        self.assert_truthful(lines)
        for request in self.requests:
            self.assertEqual(len(request.answers), len(request.ids), request.error)
        self.assertEqual(self.statuses()[6:9], [[200] * 4] * 3, "they could end")

    def test_answer_that_is_not_read(self):
        """Guards against an answer that is cut because its caller reads slowly, with no line
        in the log by which to find the request."""
        request_id, data = self.message("POST", "long-near/x", b"deposit" * 1_000_000)
        self.store.put("op/config", dict(configuration(3, routes=long_routes()), limits={
            "max_body_bytes": 64_000_000}))
        time.sleep(0.5)
        with socket.create_connection((HOSTS[0], self.ports["caller"]), timeout=12) as slow:
            slow.sendall(data)
            lines = self.stop_node(time.monotonic() + 0.5)
        found = [line for line in lines if line["event"] == "request-unanswered"]
        self.assertEqual([line["request"] for line in found], [request_id])

    def test_calls_of_a_running_request(self):
        """Guards against calls of the server that fail because its node, which still runs a
        request there, has stopped to listen."""
        calls = []

        def call_within(headers):
            if headers.get("X-Pollenwick-Caller-Service") == "two":
                calls.append(self.call("open/x", key=None)[0])

        self.backends[0].during = call_within
        start = time.monotonic()
        self.post(start, "long-near/x?work=3200", host=HOSTS[1])
        lines = self.stop_node(start + 0.3)
        self.assert_truthful(lines)
        self.assertEqual(self.statuses(), [[200]])
        self.assertEqual(calls, [200])


if __name__ == "__main__":
    unittest.main()

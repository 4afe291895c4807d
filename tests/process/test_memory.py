"""Memory and descriptors of an agent under clients that hold what it gives them.

The settings are small so that few clients reach them. No test checks a time or how
many of the clients were served.
"""

import pathlib
import random
import selectors
import socket
import time
import unittest

from agent_fleet import HOSTS, AgentFleetTest
from standin_platform import ID_HEADER, KEY_HEADER
from support import show

MEMORY_MB = 96
MAX_BODY = 4 * 1024 * 1024
CLIENTS = 40
FILE_DESCRIPTORS = 200  # Reserved for files, as on the platform.
QUIET_S = 1.5  # A client that could send nothing for this time has stopped.
SEND_S = 25  # The longest time for which clients send.


def head(method, path, *fields):
    lines = [f"{method} /{path} HTTP/1.1", "Host: a.example",
             f"{ID_HEADER}: {random.getrandbits(64):x}", f"{KEY_HEADER}: k-1",
             "X-Pollenwick-Deadline-Ms: 4000", *fields]
    return "".join(line + "\r\n" for line in lines).encode() + b"\r\n"


class MemoryCase(AgentFleetTest):
    max_body_bytes = MAX_BODY
    extra_flags = {"memory_mb": str(MEMORY_MB)}

    def proc(self, name):
        return pathlib.Path(f"/proc/{self.agents[0].pid}/{name}")

    def peak_mb(self):
        text = self.proc("status").read_text(encoding="ascii")
        return next(int(line.split()[1]) for line in text.splitlines()
                    if line.startswith("VmHWM")) / 1024

    def descriptors(self):
        return len(list(self.proc("fd").iterdir()))

    def connect(self, receive_buffer=0):
        client = socket.socket()
        self.addCleanup(client.close)
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        client.settimeout(5)
        client.connect((HOSTS[0], self.ports["caller"]))
        client.setblocking(False)
        return client

    @staticmethod
    def send_all(clients, texts):
        """Sends all that is taken; clients keep their connections. Returns the bytes sent."""
        waiting = selectors.DefaultSelector()
        left = dict(zip(clients, map(memoryview, texts)))
        for client in clients:
            waiting.register(client, selectors.EVENT_WRITE)
        sent, end = 0, time.monotonic() + SEND_S
        while left and time.monotonic() < end:
            ready = waiting.select(QUIET_S)
            if not ready:
                break
            for key, _ in ready:
                client = key.fileobj
                try:
                    count = client.send(left[client][:1 << 18])
                except BlockingIOError:
                    continue
                except OSError:
                    count = len(left[client])  # The connection was closed.
                else:
                    sent += count
                left[client] = left[client][count:]
                if not left[client]:
                    waiting.unregister(client)
                    del left[client]
        waiting.close()
        return sent

    def check(self, name, sent=0):
        """The process lives within its memory and serves an ordinary request."""
        time.sleep(0.5)
        self.assertIsNone(self.agents[0].poll(), "the process has ended")
        show(f"{name}: MB sent, peak MB, descriptors",
             [sent >> 20, round(self.peak_mb()), self.descriptors()])
        status, body, _ = self.call("near/x", body=b"wick")
        self.assertEqual((status, body), (200, b"ran wick"))
        self.assertEqual(self.call("far/x")[0], 200)
        self.assertIsNone(self.agents[0].poll(), "the process has ended")
        self.assertLessEqual(self.peak_mb(), MEMORY_MB)

    def send_bodies(self, name, text):
        clients = [self.connect() for _ in range(CLIENTS)]
        self.check(name, self.send_all(clients, [text] * CLIENTS))


class BodyMemoryTest(MemoryCase):
    def test_one_legal_body_is_served(self):
        """Guards against a bound that refuses a single client inside the limits."""
        upload = b"p" * MAX_BODY
        self.assertEqual(self.call("near/x", body=upload)[0], 200)
        self.assertEqual(self.call("far/x", body=upload)[0], 200)
        self.check("one legal body")

    def test_legal_bodies_that_stop_short(self):
        """Guards against memory that incomplete bodies with a length take."""
        self.send_bodies("legal bodies", head("POST", "near/x", f"Content-Length: {MAX_BODY}")
                         + b"p" * (MAX_BODY - 1))

    def test_large_chunks_that_stop_short(self):
        """Guards against memory that incomplete bodies without a length take."""
        chunk = b"10000\r\n" + b"p" * 0x10000 + b"\r\n"
        self.send_bodies("large chunks", head("POST", "near/x", "Transfer-Encoding: chunked")
                         + chunk * (MAX_BODY // 0x10000))

    def test_one_byte_chunks_that_stop_short(self):
        """Guards against memory or time that the framing of small chunks takes."""
        self.send_bodies("one-byte chunks", head("POST", "near/x", "Transfer-Encoding: chunked")
                         + b"1\r\np\r\n" * (MAX_BODY * 7 // 8))

    def test_bodies_over_the_limit(self):
        """Guards against memory that bodies take which are refused in the end."""
        announced = head("POST", "near/x", f"Content-Length: {4 * MAX_BODY}") + b"p" * MAX_BODY * 4
        chunk = b"10000\r\n" + b"p" * 0x10000 + b"\r\n"
        hidden = (head("POST", "near/x", "Transfer-Encoding: chunked")
                  + chunk * (2 * MAX_BODY // 0x10000))
        clients = [self.connect() for _ in range(2 * CLIENTS)]
        self.check("over the limit", self.send_all(clients, [announced, hidden] * CLIENTS))

    def test_answers_that_are_not_read(self):
        """Guards against memory that finished answers take until they are read."""
        request = head("GET", f"near/x?size={3 * 1024 * 1024}") * 4
        clients = [self.connect(receive_buffer=4096) for _ in range(CLIENTS)]
        sent = self.send_all(clients, [request] * CLIENTS)
        time.sleep(4)  # The longest that the server may take.
        self.check("answers not read", sent)


class DescriptorTest(MemoryCase):
    descriptor_limit = 600
    CONNECTIONS = 800

    def test_idle_connections(self):
        """Guards against a process without descriptors, which serves nobody."""
        for _ in range(self.CONNECTIONS):
            try:
                self.connect()
            except OSError:
                pass  # Refused connections are allowed.
        self.check("idle connections")
        self.assertLessEqual(self.descriptors(), self.descriptor_limit - FILE_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()

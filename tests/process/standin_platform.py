"""Stand-ins for the users' platform: its store, and backend servers."""

import base64
import json
import socket
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

KEY_HEADER = "X-Pollenwick-Key"
ID_HEADER = "X-Pollenwick-Request-Id"


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body, headers=()):
        try:
            self.send_response(status)
            for name, value in headers:
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True  # The other side has left.


class Store:
    """Items with revisions; answers reads, lists and watches.

    While `trouble` is set, it holds for all requests, or for those that arrive at
    one of the addresses in `troubled` if that is not empty:
    - "silent": requests that arrive then are never answered, also not afterwards;
    - "busy", "many": they are answered with 503 or 429; "reset": they are reset;
    - "slow": each answer takes `SLOW_S` longer;
    - "muted": watches hear of no change.
    """

    SLOW_S = 1.2
    REFUSALS = {"busy": 503, "many": 429}

    def __init__(self, addresses):
        self.items, self.revision, self.oldest = {}, 1, 0
        self.changed = threading.Condition()
        self.down = False
        self.trouble, self.troubled = None, ()
        self.stopped = threading.Event()
        self.servers = [serve(address, self.handler()) for address in addresses]

    def stop(self):
        """Ends the requests that are still unanswered."""
        self.stopped.set()
        self.down = True
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def forget_history(self):
        with self.changed:
            self.oldest = self.revision
            self.changed.notify_all()

    def trouble_of(self, reader):
        return self.trouble if not self.troubled or reader in self.troubled else None

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            self.items[key] = (self.revision, value)
            self.changed.notify_all()

    def remove(self, key):
        self.put(key, None)

    def item(self, key):
        revision, value = self.items[key]
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        text = value if isinstance(value, str) else json.dumps(value)
        return {"key": key, "revision": revision, "created": revision, "lease": 0,
                "value": base64.b64encode(text.encode()).decode()}

    def answer(self, call, query, reader):
        with self.changed:
            if call == "/v1/kv-key":
                key = query["key"]
                if key not in self.items or self.items[key][1] is None:
                    return 404, {}
                return 200, dict(self.item(key), as_of=self.revision)
            prefix = query["path_prefix"]
            if call == "/v1/kv-range":
                found = [self.item(key) for key in sorted(self.items)
                         if key.startswith(prefix) and self.items[key][1] is not None]
                return 200, {"items": found, "has_more": False, "as_of": self.revision}
            after = int(query["after"])
            end = time.monotonic() + int(query["wait_ms"]) / 1000
            while not self.down:
                if after < self.oldest:
                    return 410, {}
                events = [self.item(key) for key, (revision, _) in self.items.items()
                          if key.startswith(prefix) and revision > after]
                if self.trouble_of(reader) == "muted":
                    events = []
                if events or time.monotonic() >= end:
                    return 200, {"events": events, "as_of": self.revision}
                self.changed.wait(0.05)
            return 503, {}

    def handler(self):
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query))
                reader = self.connection.getsockname()[0]  # Each reader has its own address.
                trouble = store.trouble_of(reader)
                if trouble == "silent":
                    store.stopped.wait()
                    self.close_connection = True
                    return
                if trouble == "reset":
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
                    self.close_connection = True
                    return
                if trouble == "slow":
                    time.sleep(store.SLOW_S)
                if store.down or trouble in store.REFUSALS:
                    status, body = store.REFUSALS.get(trouble, 503), {}
                else:
                    status, body = store.answer(parts.path, query, reader)
                self.reply(status, json.dumps(body).encode(),
                           [("Content-Type", "application/json")])

        return Handler


class Backend:
    """Runs every request; keeps what it saw. A request with `work=MS` in its query
    runs for that time, or until its deadline, when it is answered with 504. One with
    `size=BYTES` gets an answer of that size.
    `health_headers` are those of its answers to `HEALTH_PATH`, `notices` are added
    to all other answers."""

    HEALTH_PATH = "/healthz"

    def __init__(self, address, server_id=""):
        self.seen = []
        self.arrivals = []  # Times at which the requests in `seen` arrived.
        self.health_requests = 0
        self.health_headers = [("X-Pollenwick-Instance-Id", server_id),
                               ("X-Pollenwick-Cold-Ms", "0")]
        self.notices = []
        self.delay = 0.0
        self.during = None  # Called with the headers of each request that runs.
        self.server = serve(address, self.handler())

    def handler(self):
        backend = self

        class Handler(QuietHandler):
            def run(self):
                if self.path == backend.HEALTH_PATH:
                    backend.health_requests += 1
                    self.reply(200, b"", backend.health_headers)
                    return
                backend.arrivals.append(time.monotonic())
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                backend.seen.append((self.path, dict(self.headers), body))
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
                work = backend.delay
                if "work" in query:
                    work = int(query["work"][0]) / 1000
                allowed = int(self.headers.get("X-Pollenwick-Deadline-Ms", 60_000)) / 1000
                time.sleep(min(work, allowed))
                if backend.during:
                    backend.during(dict(self.headers))
                if "size" in query:
                    body = b"b" * (int(query["size"][0]) - 4)
                self.reply(200 if work <= allowed else 504, b"ran " + body, [
                    (ID_HEADER, self.headers.get(ID_HEADER, "")),
                    ("X-Pollenwick-Server-Stamp", "stamp"), *backend.notices])

            do_GET = do_POST = run

        return Handler


def serve(address, handler):
    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 64

    server = Server(address, handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server

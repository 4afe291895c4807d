"""A small deployment for the scripts of this review.

Agents are started with the command and the template of deploy/system.toml, one on
each loopback address from 127.0.0.1 on. Store and servers are stand-ins in this process.
"""

import base64
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "X-Pollenwick-"

# As in the site file acaf-mesh.toml.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "regression_ms": 250, "retry_budget_ratio": 0.2,
          "retry_window_s": 10, "retry_budget_slack": 48, "addr_reuse_s": 2}


class CannotRun(Exception):
    pass


class Record:
    """Writes record.txt: what was sent, answered and run, with the time of this host."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def free_ports(count, hosts):
    """Returns ports that are free on all the addresses."""
    ports, held = [], []
    while len(ports) < count:
        first = socket.socket()
        first.bind((hosts[0], 0))
        port = first.getsockname()[1]
        group = [first]
        try:
            for host in hosts[1:]:
                other = socket.socket()
                group.append(other)
                other.bind((host, port))
            ports.append(port)
        except OSError:
            pass
        held += group
    for item in held:
        item.close()
    return ports


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass


class Listener(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True
    may_accept = None  # An event that is clear while no connection is accepted.

    def get_request(self):
        if self.may_accept:
            self.may_accept.wait()
        return super().get_request()

    def handle_error(self, *_):
        pass


def serve(address, handler):
    server = Listener(address, handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server


class Store:
    """The platform's store: items with revisions, lists, and watches."""

    def __init__(self, address):
        self.items, self.revision = {}, 1
        self.changed = threading.Condition()
        self.stopping = False
        self.server = serve(address, self.handler())

    def stop(self):
        self.stopping = True
        with self.changed:
            self.changed.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def put(self, key, value):
        """Returns when the write is acknowledged. `None` removes the item."""
        with self.changed:
            self.revision += 1
            self.items[key] = (self.revision, value)
            self.changed.notify_all()

    def item(self, key):
        revision, value = self.items[key]
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return {"key": key, "revision": revision, "created": revision, "lease": 0,
                "value": base64.b64encode(data).decode()}

    def answer(self, call, query):
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
            while not self.stopping:
                events = sorted((revision, key) for key, (revision, _) in self.items.items()
                                if key.startswith(prefix) and revision > after)
                if events or time.monotonic() >= end:
                    return 200, {"events": [self.item(key) for _, key in events],
                                 "as_of": self.revision}
                self.changed.wait(max(0.0, end - time.monotonic()))
            return 503, {}

    def handler(self):
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                parts = urllib.parse.urlsplit(self.path)
                status, body = store.answer(parts.path,
                                            dict(urllib.parse.parse_qsl(parts.query)))
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

        return Handler


class Server:
    """A backend server: `slots` requests at once and a short queue, 421 for another
    instance, 503 with X-Pollenwick-Not-Executed when it does not run a request. The
    query gives the work in ms (`work`) and the size of the answer (`size`)."""

    def __init__(self, record, address, server_id, service, zone, slots=36, queue=72):
        self.record, self.address, self.id = record, address, server_id
        self.service, self.zone, self.slots = service, zone, slots
        self.state, self.seq, self.born = "ready", 0, int(time.time() * 1000)
        self.running, self.waiting, self.queue = 0, 0, queue
        self.free = threading.Condition()
        self.arrivals = []  # (time, request id, headers, path, body) of those that it ran.
        self.connections = set()
        self.ended = False
        self.server = serve(address, self.handler())

    def entry(self):
        self.seq += 1
        return {"address": "%s:%d" % self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "seq_no": self.seq, "cold_remaining_ms": 0}}

    def end(self):
        """The process of the server ends: its sockets are closed at once."""
        self.ended = True
        self.record.line(f"server {self.id} ends")
        self.server.server_close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
            except OSError:
                pass
        self.server.shutdown()

    def take_slot(self, until):
        with self.free:
            if self.running >= self.slots and self.waiting >= self.queue:
                return False
            self.waiting += 1
            while self.running >= self.slots:
                left = until - time.monotonic()
                if left <= 0 or not self.free.wait(left):
                    self.waiting -= 1
                    return False
            self.waiting -= 1
            self.running += 1
            return True

    def handler(self):
        own = self

        class Handler(QuietHandler):
            def setup(self):
                own.connections.add(self.request)
                super().setup()

            def finish(self):
                own.connections.discard(self.request)
                try:
                    super().finish()
                except OSError:
                    pass

            def reply(self, status, body, headers):
                if own.ended:
                    self.close_connection = True
                    return
                self.send_response(status)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                if self.command != "HEAD":
                    self.wfile.write(body)

            def run(self):
                arrived = time.monotonic()
                request_id = self.headers.get(PREFIX + "Request-Id", "")
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                load = (PREFIX + "Instance-Load",
                        f"{own.running},{own.waiting},{own.slots}")
                if self.path == "/healthz":
                    self.reply(200 if own.state == "ready" else 503, b"",
                               [(PREFIX + "Instance-Id", own.id), load])
                    return
                echo = (PREFIX + "Request-Id", request_id)
                expected = self.headers.get(PREFIX + "Expected-Instance", own.id)
                refused = None
                if not request_id:
                    refused = 400
                elif expected != own.id:
                    refused = 421
                until = arrived + int(self.headers.get(PREFIX + "Deadline-Ms", 60000)) / 1000
                if not refused and not own.take_slot(until):
                    refused = 503
                if refused:
                    own.record.line(f"server {own.id} does not run {request_id}: {refused}")
                    self.reply(refused, b"", [echo, (PREFIX + "Not-Executed", "1"), load])
                    return
                try:
                    own.arrivals.append((arrived, request_id, dict(self.headers), self.path,
                                         body))
                    own.record.line(f"server {own.id} ({own.service}) runs {request_id} "
                                    f"{self.command} {self.path}")
                    query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
                    work = int(query.get("work", ["0"])[0]) / 1000
                    left = until - time.monotonic()
                    time.sleep(max(0, min(work, left)))
                    size = int(query.get("size", ["100"])[0])
                    done = work <= left
                    self.reply(200 if done else 504, b"b" * size, [
                        echo, (PREFIX + "Server-Stamp", "s." + own.id), load])
                    if not own.ended:
                        own.record.line(f"server {own.id} has answered {request_id}: "
                                        f"{200 if done else 504}")
                finally:
                    with own.free:
                        own.running -= 1
                        own.free.notify()

            do_GET = do_HEAD = do_POST = do_DELETE = do_PUT = run

        return Handler


ROUTE_COLUMNS = ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                 "priority", "weighted_clusters", "max_attempts", "public", "service"]


def route(name, kind, service, timeout_ms=None, target_ms=1500, clusters=None, attempts=2,
          public=False):
    return [name, "a.example", f"/{name}/", kind, timeout_ms, target_ms, 0, clusters, attempts,
            public, None if clusters else service]


def configuration(version, routes, services, tenants=None):
    return {"version": f"{version:08x}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {"columns": ["name", "health_path", "max_connections", "protocol",
                                     "tls"],
                         "rows": [[name, "/healthz", 316, "h1", False] for name in services]},
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                        "rows": tenants or [["t-1", ["key-1"], 1, 0, 0]]}}


def fill(template, values):
    """Fills the placeholders that deploy/agent.flags uses."""
    return re.sub(r"\{\{([^}]*)\}\}", lambda found: str(values[found[1]]), template)


class Fleet:
    """`hosts` holds (service, zone) for each machine."""

    def __init__(self, folder, hosts, slots=36):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.ips = [f"127.0.0.{number + 1}" for number in range(len(hosts))]
        names = ["caller", "peer", "ready", "metrics", "app", "store"]
        self.ports = dict(zip(names, free_ports(len(names), self.ips)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["agent"]
        self.command = deploy["run"].split()
        self.template = (ROOT / deploy["template"]).read_text()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(self.command[0] + " is not built")
        self.store = Store((self.ips[0], self.ports["store"]))
        self.servers, self.agents = [], []
        for number, (service, zone) in enumerate(hosts):
            self.servers.append(Server(self.record, (self.ips[number], self.ports["app"]),
                                       f"i-{uuid.uuid4().hex[:8]}", service, zone, slots))
        self.hosts = hosts

    def register(self, server):
        self.store.put("servers/" + server.id, server.entry())
        self.record.line(f"store holds server {server.id} ({server.service}) "
                         f"at {server.address[0]}: {server.state}")

    def remove(self, server):
        self.store.put("servers/" + server.id, None)
        self.record.line(f"store has removed server {server.id}")

    def settings(self, number, first):
        ip, (service, zone) = self.ips[number], self.hosts[number]
        address = {name: f"{ip}:{port}" for name, port in self.ports.items()}
        return {"node_name": f"sidecar-{number}", "ip": ip, "zone": zone, "service": service,
                "app_addr": address["app"], "listen.outbound": address["caller"],
                "listen.inbound": address["peer"], "listen.readiness": address["ready"],
                "port_range.0": self.ports["metrics"],
                "platform.address": f"{self.ips[0]}:{self.ports['store']}",
                "bootstrap": str(first).lower(), "limits.memory_mb": 260,
                **{f"bounds.{name}": value for name, value in BOUNDS.items()}}

    def write_settings(self, number, first=True):
        path = self.folder / f"{number}.flags"
        part = path.with_suffix(".part")
        part.write_text(fill(self.template, self.settings(number, first)))
        part.rename(path)
        return path

    def start_agent(self, number, first=True):
        path = self.write_settings(number, first)
        log = open(self.folder / f"{number}.log", "a")
        agent = subprocess.Popen(
            [str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "POLLENWICK_SETTINGS": str(path)})
        log.close()
        while len(self.agents) <= number:
            self.agents.append(None)
        self.agents[number] = agent
        return agent

    def start(self, config):
        self.store.put("op/config", config)
        for server in self.servers:
            self.register(server)
        for number in range(len(self.hosts)):
            self.start_agent(number)
        self.wait_for(lambda: all(self.ready(number) for number in range(len(self.hosts))))
        time.sleep(3)  # As on the users' platform, traffic starts some seconds later.

    def ready(self, number):
        connection = http.client.HTTPConnection(self.ips[number], self.ports["ready"],
                                                timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_for(self, condition, seconds=10):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("the deployment did not start in time")
            time.sleep(0.05)

    def metric(self, number, name):
        connection = http.client.HTTPConnection(self.ips[number], self.ports["metrics"],
                                                timeout=2)
        try:
            connection.request("GET", "/metrics")
            for row in connection.getresponse().read().decode().splitlines():
                if row.startswith(name):
                    return row
        finally:
            connection.close()
        return None

    def send(self, number, path, method="POST", body=b"deposit", deadline_ms=5000,
             key="key-1", headers=()):
        """One client attempt on a new connection. Returns (id, status); status 0 for a
        connection that ended without a whole answer."""
        request_id = uuid.uuid4().hex[:16]
        self.record.line(f"client sends {request_id} {method} {path} to {self.ips[number]}")
        connection = http.client.HTTPConnection(self.ips[number], self.ports["caller"],
                                                timeout=deadline_ms / 1000 + 1)
        fields = {"Host": "a.example", PREFIX + "Request-Id": request_id,
                  PREFIX + "Deadline-Ms": str(deadline_ms), **dict(headers)}
        if key:
            fields[PREFIX + "Key"] = key
        stamp, data = None, b""
        try:
            connection.request(method, path, body=body, headers=fields)
            answer = connection.getresponse()
            data = answer.read()
            status, stamp = answer.status, answer.getheader(PREFIX + "Server-Stamp")
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        note = "of the server" if stamp else data[:60].decode(errors="replace")
        self.record.line(f"client gets {status} for {request_id} ({note})")
        return request_id, status

    def burst(self, count, number, path, **options):
        """Sends `count` requests at once; returns threads and the list of results."""
        results = []
        threads = [threading.Thread(
            target=lambda: results.append(self.send(number, path, **options)))
            for _ in range(count)]
        for thread in threads:
            thread.start()
        return threads, results

    def stop(self):
        for agent in self.agents:
            if agent and agent.poll() is None:
                agent.kill()
            if agent:
                agent.wait()
        for server in self.servers:
            if not server.ended:
                server.end()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, run):
    """Runs the case and exits: 1 the rule was broken, 0 it held, 2 it could not run."""
    def give_up(*_):
        raise CannotRun("the time is over")

    code = 2
    signal.signal(signal.SIGTERM, give_up)  # The processes of the case are ended then.
    try:
        code = 1 if run(folder) else 0
    except CannotRun as error:
        print("cannot run:", error)
    except Exception as error:  # Anything else is a fault of the script.
        print("cannot run:", repr(error))
    print({0: "held", 1: "broken", 2: "not run"}[code], flush=True)
    os._exit(code)

"""Stand-ins for the users' platform, for the cases of this review.

They follow PROTOCOL.md and DEPLOY.md: a store that can be watched, application
servers, clients, and the part of the platform that starts a process, stops it
and kills it when it holds more memory than its machine gives it. Everything runs
on loopback addresses. Only the standard library of Python is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ID = "X-Pollenwick-Request-Id"
KEY = "X-Pollenwick-Key"
STAMP = "X-Pollenwick-Server-Stamp"
NOT_RUN = "X-Pollenwick-Not-Executed"

# The bounds of the example in DEPLOY.md.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4,
          "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "regression_ms": 250, "skew_max_ms": 5000, "enforce_revocation": False,
          "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
          "retry_budget_slack": 48, "quota_window_s": 5, "quota_overage": 0.25,
          "quota_slack": 20, "recovery_s": 15}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Day:
    """Addresses and ports of one deployment. Ports are the same on all machines."""

    def __init__(self, machines):
        net = random.randrange(16, 250), random.randrange(0, 250)
        self.ips = [f"127.{net[0]}.{net[1]}.{10 + i}" for i in range(machines)]
        self.store_ip = f"127.{net[0]}.{net[1]}.250"
        self.peer, self.caller, self.ready, self.app, self.store, self.metrics = self.free_ports(6)

    def free_ports(self, count):
        found = []
        while len(found) < count:
            port = random.randrange(10000, 30000)
            if port in found:
                continue
            try:
                for ip in [*self.ips, self.store_ip]:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            except OSError:
                continue
            found.append(port)
        return found


async def read_head(reader):
    """Returns the first line and the header fields; None at the end of the stream."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's store: items with revisions that can be read, listed and watched."""

    def __init__(self):
        self.items, self.revision = {}, 100
        self.changed = asyncio.Event()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (self.revision, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        revision, value = self.items[key]
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        return {"key": key, "revision": revision, "created": revision, "lease": 0,
                "value": base64.b64encode(json.dumps(value).encode()).decode()}

    async def answer(self, call, query):
        if call == "/v1/kv-key":
            if self.items.get(query["key"], (0, None))[1] is None:
                return 404, {}
            return 200, dict(self.item(query["key"]), as_of=self.revision)
        keys = sorted(key for key in self.items if key.startswith(query["path_prefix"]))
        if call == "/v1/kv-range":
            return 200, {"items": [self.item(key) for key in keys
                                   if self.items[key][1] is not None],
                         "has_more": False, "as_of": self.revision}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [self.item(key) for key in sorted(self.items)
                      if key.startswith(query["path_prefix"])
                      and self.items[key][0] > int(query["after"])]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                parts = urllib.parse.urlsplit(head[0].split(" ")[1])
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, body = await self.answer(parts.path, query)
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def route(name, prefix, kind, service, timeout_ms=8000, attempts=2, target_ms=4000):
    return [name, "shop.example", prefix, kind, timeout_ms, target_ms, 0, None, attempts, False,
            service]


def configuration(version, routes, services, max_body_bytes=67108864, key="key-1"):
    return {
        "version": f"{version:08x}",
        "routes": {"columns": ["name", "host", "path_prefix", "kind", "timeout_ms",
                               "target_latency_ms", "priority", "weighted_clusters",
                               "max_attempts", "public", "service"], "rows": routes},
        "services": {"columns": ["name", "health_path", "max_connections", "protocol", "tls"],
                     "rows": [[name, "/healthz", 316, "h1", False] for name in services]},
        # The limits of the example that the bench prints.
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                    "rows": [["tenant-1", [key], 1, 0, 0]]}}


class Server:
    """An application server. It runs each request for `work` ms of its query and
    answers with `size` bytes."""

    def __init__(self, record, ident, service):
        self.record, self.ident, self.service = record, ident, service
        self.begun, self.ended = {}, {}  # Times, lists by request id.

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 20)

    def entry(self, zone="zone-1", state="ready"):
        return {"address": self.address, "born": 1764900000000,
                "info": {"service": self.service, "version": "v1", "zone": zone, "slots": 64},
                "status": {"state": state, "seq_no": 1, "cold_remaining_ms": 0}}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                await self.run(head, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, head, reader, writer):
        method, target, _ = head[0].split(" ")
        fields = head[1]
        body = await read_body(reader, fields)
        ident = fields.get(ID.lower(), "")
        if fields.get("x-pollenwick-expected-instance", self.ident) != self.ident:
            writer.write(f"HTTP/1.1 421 x\r\n{ID}: {ident}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        self.begun.setdefault(ident, []).append(time.monotonic())
        self.record(f"server {self.ident} begins {ident}: {method} {target}, "
                    f"{len(body)} bytes of body")
        await asyncio.sleep(int(query.get("work", 0)) / 1000)
        self.ended.setdefault(ident, []).append(time.monotonic())
        self.record(f"server {self.ident} has run {ident}")
        await self.reply(ident, query, writer)

    async def reply(self, ident, query, writer):
        size = int(query.get("size", 20))
        writer.write(f"HTTP/1.1 200 OK\r\n{ID}: {ident}\r\n{STAMP}: stamp-{ident}\r\n"
                     f"Keep-Alive: timeout=10\r\nContent-Length: {size}\r\n\r\n".encode())
        writer.write(b"b" * size)
        await writer.drain()


class Answer:
    def __init__(self, status=0, fields=None, body=b"", end=""):
        self.status, self.fields, self.body, self.end = status, fields or {}, body, end

    def __str__(self):
        if self.end:
            return f"no whole answer ({self.end})"
        return f"{self.status}, {len(self.body)} bytes"


class Client:
    """A client that keeps its connection."""

    def __init__(self, record, name, ip, port):
        self.record, self.name, self.ip, self.port = record, name, ip, port
        self.reader = self.writer = None

    async def connect(self, receive_buffer=0):
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(sock, (self.ip, self.port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=1 << 16)

    def send(self, method, target, body=b"", deadline_ms=8000, key="key-1"):
        ident = f"{random.getrandbits(64):016x}"
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n{ID}: {ident}\r\n"
                          f"X-Pollenwick-Deadline-Ms: {deadline_ms}\r\n{KEY}: {key}\r\n"
                          f"{length}\r\n".encode())
        self.writer.write(body)
        self.record(f"{self.name} sends {ident}: {method} {target}, {len(body)} bytes of body")
        return ident

    async def answer(self, ident, timeout_s=15):
        """Reads one answer. `end` tells how the connection ended without a whole one."""
        try:
            result = await asyncio.wait_for(self.read_answer(), timeout_s)
        except asyncio.TimeoutError:
            result = Answer(end="nothing in time")
        except asyncio.IncompleteReadError:
            result = Answer(end="closed midway")
        except OSError as error:
            result = Answer(end=f"connection error: {error.strerror}")
        self.record(f"{self.name} gets for {ident}: {result}")
        return result

    async def read_answer(self):
        head = await read_head(self.reader)
        if not head:
            return Answer(end="closed")
        body = await read_body(self.reader, head[1])
        return Answer(int(head[0].split(" ")[1]), head[1], body)

    def close(self):
        if self.writer:
            self.writer.transport.abort()


class Machine:
    """A machine of the platform: starts the program of the deploy file, starts it
    again when it has ended, and kills it above `memory_mb`."""

    def __init__(self, record, day, index, name, service, folder, memory_mb=260, zone="zone-1"):
        self.record, self.name, self.memory_mb = record, name, memory_mb
        self.day, self.ip = day, day.ips[index]
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["agent"]
        self.settings = pathlib.Path(folder) / f"{name}.settings"
        ip = self.ip
        self.fields = {
            "node_name": name, "ip": ip, "zone": zone, "service": service, "bootstrap": True,
            "app_addr": f"{ip}:{day.app}", "limits": {"memory_mb": memory_mb},
            "listen": {"outbound": f"{ip}:{day.caller}", "inbound": f"{ip}:{day.peer}",
                       "readiness": f"{ip}:{day.ready}"},
            "port_range": [day.metrics, day.metrics + 15],
            "platform": {"address": f"{day.store_ip}:{day.store}"}, "bounds": BOUNDS}
        self.process, self.stopping, self.peak_kb, self.memory_kills = None, False, 0, 0

    def fill(self, match):
        value = self.fields
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value).lower() if isinstance(value, bool) else str(value)

    def start(self):
        template = (ROOT / self.deploy["template"]).read_text()
        self.settings.write_text(re.sub(r"\{\{([a-z0-9_.]+)\}\}", self.fill, template))
        self.fields["bootstrap"] = False  # True only at the first start of the whole system.
        self.log = open(str(self.settings) + ".log", "ab")
        self.process = subprocess.Popen(
            [str(ROOT / self.deploy["run"].split(" ")[0]), *self.deploy["run"].split(" ")[1:]],
            cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                 "POLLENWICK_SETTINGS": str(self.settings)})
        self.record(f"platform starts the process on {self.name}")

    def signal(self, number):
        self.process.send_signal(number)
        self.record(f"platform sends {signal.Signals(number).name} to the process on {self.name}")

    def resident_kb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) if found else 0

    async def watch(self):
        """Keeps the process running, and kills it above its memory."""
        while not self.stopping:
            await asyncio.sleep(0.002)
            if self.process.poll() is not None:
                self.record(f"the process on {self.name} has ended with {self.process.returncode}")
                await asyncio.sleep(0.3)
                if not self.stopping:
                    self.start()
                continue
            used = self.resident_kb()
            self.peak_kb = max(self.peak_kb, used)
            if used > self.memory_mb * 1024:
                self.memory_kills += 1
                self.record(f"the process on {self.name} holds {used // 1024} MB of "
                            f"{self.memory_mb} MB: the platform kills it")
                self.process.kill()
                self.process.wait()

    async def ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.day.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0] + " ":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    def stop(self):
        self.stopping = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process:
            self.log.close()


class CannotRun(Exception):
    """The case could not be played."""


class Deployment:
    """Machines with their servers, the store and its configuration."""

    def __init__(self, record, folder, services, routes, server_class=Server, memory_mb=260):
        self.record = record
        self.day = Day(len(services))
        self.store = Store()
        self.servers = [server_class(record, f"i-{index}-{name}", name)
                        for index, name in enumerate(services)]
        self.machines = [Machine(record, self.day, index, f"sidecar-{index}", name, folder,
                                 memory_mb) for index, name in enumerate(services)]
        self.routes, self.services = routes, services
        self.watchers = []

    async def start(self):
        await self.store.start(self.day.store_ip, self.day.store)
        self.store.put("op/config", configuration(7, self.routes, sorted(set(self.services))))
        for server, machine in zip(self.servers, self.machines):
            await server.start(machine.ip, self.day.app)
            self.store.put(f"servers/{server.ident}", server.entry())
        for machine in self.machines:
            machine.start()
            self.watchers.append(asyncio.ensure_future(machine.watch()))
        for machine in self.machines:
            if not await machine.ready():
                raise CannotRun(f"{machine.name} is not ready")

    async def warm(self, targets):
        """Waits until each machine serves each target."""
        for machine in self.machines:
            for target in targets:
                for _ in range(100):
                    client = Client(lambda _: None, "check", machine.ip, self.day.caller)
                    try:
                        await client.connect()
                        answer = await client.answer(client.send("GET", target), 5)
                    except OSError:
                        answer = Answer(end="refused")
                    client.close()
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.1)
                else:
                    raise CannotRun(f"{machine.name} does not serve {target}")

    def stop(self):
        for machine in self.machines:
            machine.stop()


def main(folder, play):
    """Runs `play(record, temporary folder, trouble)`, which returns a list of what broke
    the rule. Exits with 0, 1 or 2 as the cases must."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"with the disruption: {trouble}")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(play(record, temporary, trouble), 110))
            code = 1 if broken else 0
            for line in broken or ["the rule held"]:
                record(line)
                print(line)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
    sys.stdout.flush()
    os._exit(code)

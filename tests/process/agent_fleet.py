"""Agents on loopback addresses, with stand-ins for the users' platform."""

import http.client
import os
import pathlib
import random
import resource
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import deployment as dep  # noqa: E402
from standin_platform import ID_HEADER, KEY_HEADER, Backend, Store  # noqa: E402

AGENT = pathlib.Path(os.environ["POLLENWICK_BUILD"]) / "apps" / "pollenwick-agent"
HOSTS = ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4")
PORTS = dep.PortChooser()  # None from which the system connects.


def configuration(version, keys=("k-1",), routes=(), tenants=(), max_body_bytes=100000):
    columns = ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
               "priority", "weighted_clusters", "max_attempts", "public", "service"]
    return {
        "version": f"{version:08x}",
        "routes": {"columns": columns, "rows": [
            ["near", "a.example", "/near/", "safe", 3000, 1000, 1, None, 2, False, "one"],
            ["far", "a.example", "/far/", "unsafe", 3000, 1000, 0, None, 2, False, "two"],
            ["open", "a.example", "/open/", "safe", 3000, 1000, 0, None, 2, True, "two"],
            *routes]},
        "services": {"columns": ["name", "health_path", "max_connections"],
                     "rows": [[name, "/healthz", 50]
                              for name in ("one", "two", "three", "four")]},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                    "rows": [["t-1", list(keys), 1, 500, 500], *tenants]}}


def entry(service, address, state="ready", zone="z", cold_ms=0, slots=8):
    return {"address": address, "born": 1,
            "info": {"service": service, "version": "v1", "zone": zone, "slots": slots},
            "status": {"state": state, "seq_no": 1, "cold_remaining_ms": cold_ms}}


class AgentFleetTest(unittest.TestCase):
    """Starts an agent with a backend server for each of `services`, in one
    availability zone unless `zones` names one for each. `names` are given if a
    service has several servers."""

    services = ("one", "two")
    names = zones = None
    max_body_bytes = 100000
    extra_flags = {}  # Settings of all agents beside those below.
    descriptor_limit = None  # `RLIMIT_NOFILE` of each agent; None: as inherited.

    def setUp(self):
        store, app, caller, peer, ready, metrics = (PORTS.choose() for _ in range(6))
        self.ports = {"caller": caller, "peer": peer, "ready": ready, "metrics": metrics}
        self.app_port = app
        self.store = Store([(host, store) for host in HOSTS])
        self.folder = tempfile.TemporaryDirectory()
        # Also runs if the set-up fails, when no tear-down would.
        self.addCleanup(self.stop_all)
        self.backends, self.agents = [], []
        self.store.put("op/config", configuration(1, max_body_bytes=self.max_body_bytes))
        names = self.names or self.services
        zones = self.zones or ["z"] * len(names)
        for host, name, service, zone in zip(HOSTS, names, self.services, zones):
            self.backends.append(Backend((host, app), f"i-{name}"))
            self.store.put(f"servers/i-{name}", entry(service, f"{host}:{app}", zone=zone))
            # Each agent has its own address of the store, which so knows who asks.
            flags = {"node_name": name, "ip": host, "zone": zone, "service": service,
                     "server_address": f"{host}:{app}", "caller_address": f"{host}:{caller}",
                     "peer_address": f"{host}:{peer}", "ready_address": f"{host}:{ready}",
                     "metrics_address": f"{host}:{metrics}",
                     "source_address": f"{host}:{store}", "first_start": "true",
                     "drain_grace_s": "4", **self.extra_flags}
            path = pathlib.Path(self.folder.name) / f"{name}.flags"
            path.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
            self.agents.append(self.start_agent(name))
        self.wait_for(lambda: self.call("near/x")[0] == 200 and self.call("far/x")[0] == 200)

    def start_agent(self, name):
        path = pathlib.Path(self.folder.name) / f"{name}.flags"
        limit = self.descriptor_limit
        return subprocess.Popen(
            [AGENT], env=dict(os.environ, POLLENWICK_SETTINGS=str(path)),
            stdout=subprocess.PIPE, text=True,
            preexec_fn=limit and (lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                             (limit, limit))))

    def stop_all(self):
        for agent in self.agents:
            agent.kill()
            agent.wait()
            agent.stdout.close()
        self.store.stop()
        for server in [backend.server for backend in self.backends]:
            server.shutdown()
            server.server_close()
        self.folder.cleanup()

    def wait_for(self, condition, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        self.fail("not reached in time")

    def call(self, path, host=HOSTS[0], key="k-1", body=None, connection=None, headers=()):
        own = connection or http.client.HTTPConnection(host, self.ports["caller"], timeout=8)
        fields = {"Host": "a.example", ID_HEADER: f"{random.getrandbits(64):x}",
                  "X-Pollenwick-Deadline-Ms": "4000", **dict(headers)}
        if key:
            fields[KEY_HEADER] = key
        own.request("POST" if body else "GET", "/" + path, body=body, headers=fields)
        answer = own.getresponse()
        result = answer.status, answer.read(), dict(answer.getheaders())
        if not connection:
            own.close()
        return result

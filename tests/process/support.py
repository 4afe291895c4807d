"""Small deployments and callers for the process-level tests."""

import http.client
import json
import os
import pathlib
import random
import sys
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import deployment as dep  # noqa: E402
import load  # noqa: E402

SEED = 20261204
# Shorter than in the example bundles, so that a pause beyond it stays short.
VIEW_LEASE_SECONDS = 2.0
CRASH_STATUS = 70  # Exit status of a backend server that met its crash marker.


def small_bundle(ports, hosts):
    """The lantern bundle with `hosts[service]` hosts and high rates.

    The rates are above the load of the tests, so that a refusal is a fault.
    """
    bundle = dep.load_bundle("lantern")
    zones = sorted({row["zone"] for row in bundle["hosts"]})
    kept = []
    for service, count in hosts.items():
        rows = [row for row in bundle["hosts"] if row["service"] == service]
        rows += [dict(rows[0], id=f"{service}-{number + 1}")
                 for number in range(len(rows), count)]
        kept += rows[:count]
    for number, row in enumerate(kept):
        row["zone"] = zones[number % len(zones)]
        for name in ("caller_port", "peer_port", "membership_port"):
            row[name] = ports.choose()
    bundle["hosts"] = kept
    for row in bundle["tenants"]:
        row["rate"], row["burst"] = 5000, 2000
    bundle["policy"]["witnesses"] = [row["id"] for row in kept][:5]
    bundle["policy"]["view_lease_ms"] = int(VIEW_LEASE_SECONDS * 1000)
    return bundle


def route(bundle, name):
    return next(row for row in bundle["routes"] if row["id"] == name)


def one_tenant_plan(bundle, seconds, rate, mix, retries=None, tenant=None):
    row = next(row for row in load.tenants(bundle, 0, mix=mix, retries=retries)
               if tenant is None or row["tenant"] == tenant)
    return {"phases": [{"name": "load", "seconds": seconds, "tenants": [dict(row, rate=rate)]}]}


class Caller:
    """One open connection to a caller port, by the caller protocol."""

    def __init__(self, address, key=None, timeout=10):
        self.connection = http.client.HTTPConnection(address, timeout=timeout)
        self.key = key

    def send(self, path, request_id, body=None, ticket=None):
        """Returns (status, headers, body). Resends once with a ticket."""
        headers = {"Client-Request-Id": request_id}
        if self.key:
            headers["Authorization"] = "Bearer " + self.key
        if ticket:
            headers["Pollenwick-Ticket"] = ticket
        self.connection.request("POST" if body is not None else "GET", path, body, headers)
        reply = self.connection.getresponse()
        text = reply.read()
        if reply.status == 428 and not ticket:
            return self.send(path, request_id, body, reply.headers["Pollenwick-Ticket"])
        return reply.status, reply.headers, text

    def close(self):
        self.connection.close()


def run_limits(bundle, root):
    """How often one run of `root` may run each non-idempotent route."""
    limits = {}

    def visit(name, factor):
        row = route(bundle, name)
        if not row.get("idempotent", True):
            limits[name] = limits.get(name, 0) + factor
        for call in row.get("calls", []):
            visit(call["route"], factor * call.get("count", 1))

    visit(root, 1)
    return limits


class ProcessTest(unittest.TestCase):
    """Starts a deployment for each test and stops it afterwards."""

    hosts = {"catalogo": 2, "cobros": 2, "galeria": 2, "cereria": 2}
    service_time_us = 1000

    def setUp(self):
        if not (pathlib.Path(os.environ.get("POLLENWICK_BUILD", ROOT / "build"))
                / "apps/pollenwick-node").exists():
            self.fail("pollenwick-node is not built; run scripts/build")
        ports = dep.PortChooser()
        self.bundle = small_bundle(ports, self.hosts)
        self.deployment = dep.Deployment(self.bundle, ports=ports,
                                         service_time_us=self.service_time_us)
        self.addCleanup(self._stop)
        self.deployment.start()
        self.key = "dev-" + self.bundle["tenants"][0]["id"]
        self.random = random.Random(SEED)

    def run(self, result=None):
        self.result = result if result is not None else self.defaultTestResult()
        return super().run(self.result)

    def _stop(self):
        failures = self.result.failures + self.result.errors
        self.deployment.keep_logs = any(test is self for test, _ in failures)
        self.deployment.stop()

    def records(self):
        """Runs of all backend servers that answer: {route: {request id: count}}."""
        merged = {}
        for host in self.deployment.hosts:
            if not host.backend.running():
                continue
            report = self.deployment.records(host)
            self.assertEqual(report["dropped"], 0, "the records are not complete")
            for name, runs in report["runs"].items():
                row = merged.setdefault(name, {})
                for request_id, count in runs.items():
                    row[request_id] = row.get(request_id, 0) + count
        return merged

    def assert_no_key_seen(self):
        for host in self.deployment.hosts:
            if host.backend.running():
                self.assertEqual(self.deployment.records(host)["leaked_headers"], [], host.id)

    def assert_at_most_once(self, result, records):
        for row in result.outcomes:
            for name, limit in run_limits(self.bundle, row["route"]).items():
                runs = records.get(name, {}).get(row["id"], 0)
                self.assertLessEqual(runs, limit, f"{name} ran {runs} times for {row}")

    def assert_not_run_is_true(self, result, records):
        for row in result.ended("not-run"):
            ran = [name for name, runs in records.items() if row["id"] in runs]
            self.assertEqual(ran, [], f"ran although refused as not run: {row}")

    def assert_nothing_wrong(self, result):
        self.assertEqual(result.total["wrong"], 0, result.table)
        self.assertEqual(result.json["violations"], {}, result.table)


class CrashCase(ProcessTest):
    """Sends a request that crashes each server of one service that runs it."""

    hosts = {"catalogo": 2, "cobros": 1, "galeria": 5, "cereria": 1}

    def send_crashing(self, restart_seconds, repeats=30):
        """Returns the answers, and the hosts of the crashes in their order.

        The platform starts a crashed server again after `restart_seconds`.
        """
        targets = self.deployment.hosts_of("galeria")
        marker = {"crash_marker": "boom"}
        for host in targets:
            dep.http_json(host.control, "POST", "/control/set", marker)
        answers, crashed = [], []
        for number in range(repeats):
            host = self.deployment.hosts[number % len(self.deployment.hosts)]
            caller = Caller(host.caller, self.key)
            status, headers, _ = caller.send("/galeria/photo?bytes=10", f"crash-{number}", "a boom")
            caller.close()
            answers.append((status, headers.get("Pollenwick-Reason")))
            time.sleep(0.05)
            for target in targets:
                if target.backend.running():
                    continue
                self.assertEqual(target.backend.process.returncode, CRASH_STATUS, target.id)
                crashed.append(target.id)
                time.sleep(restart_seconds)
                self.deployment.start_backend(target)
                dep.http_json(target.control, "POST", "/control/set", marker)
        show("crashes, in this order", crashed)
        show("answers", [f"{status} {reason}" for status, reason in answers])
        return answers, crashed


class Repeater(threading.Thread):
    """Sends lookups over one open connection until it is stopped."""

    def __init__(self, address, key, path, gap=0.005):
        super().__init__(daemon=True)
        self.caller = Caller(address, key)
        self.path = path
        self.gap = gap
        self.ended = threading.Event()
        self.answers = []  # (time of the answer, status, reason)

    def run(self):
        number = 0
        while not self.ended.is_set():
            number += 1
            try:
                status, headers, _ = self.caller.send(self.path, f"repeat-{number}")
                reason = headers.get("Pollenwick-Reason", "")
            except (OSError, http.client.HTTPException) as error:
                status, reason = 0, repr(error)
                self.caller.close()
            self.answers.append((time.monotonic(), status, reason))
            time.sleep(self.gap)

    def stop(self):
        self.ended.set()
        self.join()
        self.caller.close()
        return self.answers


def show(name, value):
    """Prints a measured figure into the log of the test run."""
    print(f"measured: {name}: {json.dumps(value)}", file=sys.stderr, flush=True)

"""Nodes that end, crash or pause under load."""

import signal
import socket
import time
import unittest

from support import SEED, VIEW_LEASE_SECONDS, ProcessTest, load, one_tenant_plan, show

RETRIES = {"count": 3, "delay_ms": 50}


class ShutdownTest(ProcessTest):
    def test_sigterm_cuts_no_request(self):
        """Guards against a planned shutdown that loses calls in flight (G11)."""
        plan = one_tenant_plan(self.bundle, 9, 250, load.mixed(self.bundle), RETRIES)
        running = load.Load(self.deployment, plan, SEED)
        statuses = {}
        try:
            time.sleep(1)
            # One node of a service at a time, so that every service stays up.
            for name in ("galeria-1", "catalogo-1", "cobros-2"):
                node = self.deployment.host(name).node
                start = time.monotonic()
                node.send(signal.SIGTERM)
                statuses[name] = node.wait(15)
                show(f"{name} ended after SIGTERM, seconds", round(time.monotonic() - start, 2))
        finally:
            result = running.result()
        records = self.records()
        show("SIGTERM under load", result.total)
        self.assertEqual(statuses, dict.fromkeys(statuses, 0))
        self.assert_nothing_wrong(result)
        self.assertEqual(result.total["unknown"], 0, result.table)
        self.assertEqual(result.total["failed"], 0, result.table)
        # A lost connection is harmless only when its request never ran.
        for row in result.outcomes:
            if row["connections_lost"]:
                runs = records.get(row["route"], {}).get(row["id"], 0)
                self.assertLessEqual(runs, 1, f"an answer was cut: {row}")
        self.assert_at_most_once(result, records)
        self.assert_not_run_is_true(result, records)


class KillTest(ProcessTest):
    def test_kill_runs_nothing_twice(self):
        """Guards against a retry that repeats a non-idempotent request, and
        against a false "not run" (G8, G9), also after the node is back."""
        mix = [load.request(row, weight=1) for row in self.bundle["routes"]
               if not row.get("internal") and not row.get("idempotent", True)]
        mix.append(load.request(next(row for row in self.bundle["routes"]
                                     if row["id"] == "catalogo/stock"), weight=1))
        plan = one_tenant_plan(self.bundle, 10, 200, mix, RETRIES)
        running = load.Load(self.deployment, plan, SEED, flags=["--ticket_elsewhere=0.5"])
        try:
            time.sleep(1)
            for name in ("catalogo-1", "cobros-1"):
                node = self.deployment.host(name).node
                node.kill()
                time.sleep(1.5)
                node.start()
                time.sleep(1.5)
        finally:
            result = running.result()
        records = self.records()
        show("kill -9 under load", result.total)
        self.assert_nothing_wrong(result)
        self.assertGreater(result.total["answered"], result.total["offered"] / 2, result.table)
        self.assert_at_most_once(result, records)
        self.assert_not_run_is_true(result, records)
        self.assert_no_key_seen()


class PauseTest(ProcessTest):
    def test_paused_node_does_not_admit_on_its_old_view(self):
        """Guards against a process that wakes up and acts on a stale bundle
        before it has noticed the pause (G5)."""
        host = self.deployment.hosts[0]
        tenant = self.bundle["tenants"][1]["id"]
        wire = (f"GET /catalogo/stock?bytes=10 HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer dev-{tenant}\r\n"
                "Client-Request-Id: %s\r\n\r\n")
        sockets = [socket.create_connection((host.address, host.caller_port), timeout=10)
                   for _ in range(20)]
        for number, each in enumerate(sockets):
            each.sendall((wire % f"before-{number}").encode())
            self.assertIn(b" 200 ", each.recv(65536).split(b"\r\n")[0])
        host.node.send(signal.SIGSTOP)
        time.sleep(0.1)
        # The requests wait in the socket and are read at the wake-up.
        for number, each in enumerate(sockets):
            each.sendall((wire % f"paused-{number}").encode())
        self.deployment.revise(lambda bundle: bundle.update(
            keys=[row for row in bundle["keys"] if row["tenant"] != tenant]))
        time.sleep(VIEW_LEASE_SECONDS + 1)
        host.node.send(signal.SIGCONT)
        lines = [each.recv(65536).split(b"\r\n")[0].decode() for each in sockets]
        for each in sockets:
            each.close()
        show("answers at the wake-up", sorted(set(lines)))
        ran = [name for name in self.records().get("catalogo/stock", {})
               if name.startswith("paused-")]
        self.assertEqual(ran, [])
        self.assertTrue(all(line.split(" ")[1:2] in (["401"], ["503"]) for line in lines), lines)
        self.deployment.wait_healthy(host)


if __name__ == "__main__":
    unittest.main()

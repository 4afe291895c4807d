"""Rates over the fleet, drains, and garbage on the ports of a node."""

import random
import socket
import time
import unittest

from support import SEED, Caller, ProcessTest, dep, load, one_tenant_plan, route, show

GARBAGE_ROUNDS = 40
GARBAGE_BYTES = 4096
DRAIN_SECONDS = 3.0  # After this time a leaving backend server gets no new work.


class RateTest(ProcessTest):
    RATE, BURST = 100, 60

    def test_rate_counts_over_all_hosts(self):
        """Guards against a tenant that gets its rate at each node (G6)."""
        tenant = self.bundle["tenants"][0]["id"]

        def limit(bundle):
            row = next(row for row in bundle["tenants"] if row["id"] == tenant)
            row["rate"], row["burst"] = self.RATE, self.BURST

        self.deployment.revise(limit)
        time.sleep(1)
        seconds = 6
        mix = [load.request(route(self.bundle, "catalogo/stock"))]
        plan = one_tenant_plan(self.bundle, seconds, 4 * self.RATE, mix, tenant=tenant)
        start = time.monotonic()
        result = load.run(self.deployment, plan, seed=SEED)
        elapsed = time.monotonic() - start
        answered = result.total["answered"]
        show("four times the rate, answered and allowed",
             [answered, self.BURST + self.RATE * seconds])
        self.assert_nothing_wrong(result)
        self.assertLessEqual(answered, self.BURST + self.RATE * elapsed, result.table)
        self.assertGreater(answered, 0, result.table)


class DrainTest(ProcessTest):
    def test_draining_host_gets_no_new_work(self):
        """Guards against calls that keep going to a leaving server while the
        platform's list still calls it live (G10)."""
        mix = [load.request(route(self.bundle, "catalogo/stock"))]
        plan = one_tenant_plan(self.bundle, 8, 150, mix)
        others = [host for host in self.deployment.hosts if host.id != "catalogo-1"]
        leaving = self.deployment.host("catalogo-1")
        running = load.Load(self.deployment, plan, SEED, hosts=others)
        try:
            time.sleep(1.5)
            dep.http_call(leaving.admin, "POST", "/drain")
            time.sleep(DRAIN_SECONDS)
            before = self.deployment.records(leaving)["total"]
            time.sleep(2)
            after = self.deployment.records(leaving)["total"]
        finally:
            result = running.result()
        show("runs of the leaving server after 3 s", after - before)
        self.assertGreater(before, 0, "the host had no work before it left")
        self.assertEqual(after, before)
        self.assertEqual(result.total["answered"], result.total["offered"], result.table)


class GarbageTest(ProcessTest):
    hosts = {"catalogo": 2, "cobros": 1, "galeria": 1, "cereria": 1}

    def test_garbage_on_every_port_ends_nothing(self):
        """Guards against input that ends a node, or makes it hold memory."""
        host = self.deployment.host("catalogo-1")
        row = next(row for row in self.bundle["hosts"] if row["id"] == host.id)
        before = self._resident(host)
        source = random.Random(SEED)
        for number in range(GARBAGE_ROUNDS):
            data = source.randbytes(source.randrange(1, GARBAGE_BYTES))
            for port in (row["caller_port"], row["peer_port"]):
                with socket.create_connection(("127.0.0.1", port), timeout=5) as stream:
                    stream.sendall(data)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                datagrams.sendto(data, ("127.0.0.1", row["membership_port"]))
            with socket.create_connection(("127.0.0.1", row["caller_port"]), timeout=5) as stream:
                # A body that ends early, and one that names an absurd length.
                length = len(data) + 10 if number % 2 else 1 << 60
                stream.sendall(b"POST /cobros/deposit HTTP/1.1\r\nHost: x\r\nContent-Length: "
                               + str(length).encode() + b"\r\n\r\n" + data)
        self.assertTrue(host.node.running())
        caller = Caller(host.caller, self.key)
        status, headers, _ = caller.send("/catalogo/stock?bytes=10", "after-garbage")
        caller.close()
        self.assertEqual((status, headers["Pollenwick-Outcome"]), (200, "done"))
        grown = self._resident(host) - before
        show("memory grown by garbage, KB", grown)
        self.assertLess(grown, 64 * 1024)

    @staticmethod
    def _resident(host):
        with open(f"/proc/{host.node.process.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))


if __name__ == "__main__":
    unittest.main()

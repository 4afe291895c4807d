"""Answers of a healthy deployment."""

import unittest

from support import SEED, Caller, ProcessTest, load, one_tenant_plan, route, show


class BookingTest(ProcessTest):
    hosts = {"catalogo": 3, "cobros": 2, "galeria": 2, "cereria": 2}

    def test_booking_crosses_services_and_zones(self):
        """Guards against a call graph that breaks between nodes, and against
        a key that reaches a backend server (G3, G4)."""
        zones = {host.zone for host in self.deployment.hosts}
        self.assertEqual(len(zones), 3)
        for host in self.deployment.hosts:
            for number in range(3):
                caller = Caller(host.caller, self.key)
                request_id = f"booking-{host.id}-{number}"
                status, headers, body = caller.send("/catalogo/booking?bytes=500", request_id, "b")
                caller.close()
                self.assertEqual(status, 200, f"{host.id}: {dict(headers)} {body[:200]}")
                self.assertEqual(headers["Pollenwick-Outcome"], "done")
                self.assertEqual(len(body), 500)
        records = self.records()
        for name in ("catalogo/booking", "cobros/deposit", "galeria/photo", "cereria/order"):
            self.assertEqual(len(records.get(name, {})), 3 * len(self.deployment.hosts), name)
        booking = route(self.bundle, "catalogo/booking")
        self.assertEqual({call["route"] for call in booking["calls"]} - set(records), set())
        for host in self.deployment.hosts:
            tenants = set(self.deployment.records(host)["tenants"])
            self.assertLessEqual(tenants, {self.key.removeprefix("dev-")}, host.id)
        self.assert_no_key_seen()

    def test_keys_decide(self):
        """Guards against closed routes that run without a valid key."""
        address = self.deployment.hosts[0].caller
        for number, key in enumerate((None, "dev-nobody", self.key + "x", self.key[:-1])):
            caller = Caller(address, key)
            status, headers, _ = caller.send("/catalogo/stock", f"bad-{number}")
            self.assertEqual(status, 401, key)
            self.assertEqual(headers["Pollenwick-Outcome"], "not-run")
            status, headers, _ = caller.send("/catalogo/listing?bytes=10", f"open-{number}")
            self.assertEqual(status, 200, f"an open route needs no key: {dict(headers)}")
            caller.close()
        caller = Caller(address, self.key)
        status, headers, _ = caller.send("/catalogo/check", "internal")
        self.assertIn(status, (403, 404), dict(headers))
        caller.close()
        self.assertNotIn("catalogo/stock", self.records())
        self.assertNotIn("catalogo/check", self.records())
        self.assert_no_key_seen()


class WholeAnswersTest(ProcessTest):
    hosts = {"catalogo": 3, "cobros": 1, "galeria": 1, "cereria": 1}
    # Bytes of the answer, and how many of 10,000 answers have this size.
    sizes = ((0, 500), (1, 1000), (200, 5000), (8192, 2000), (65536, 1000),
             (300_000, 400), (1 << 20, 80), (4 << 20, 20))

    def test_answers_are_whole(self):
        """Guards against truncated and mixed up answers (G7)."""
        stock = route(self.bundle, "catalogo/stock")
        listing = route(self.bundle, "catalogo/listing")
        mix = [load.request(row, weight=weight, reply_bytes=size, body_bytes=size // 4)
               for row in (stock, listing) for size, weight in self.sizes]
        plan = one_tenant_plan(self.bundle, 9, 1200, mix, {"count": 3, "delay_ms": 50})
        result = load.run(self.deployment, plan, SEED, connections=96)
        show("whole answers", {name: result.total[name] for name in
                               ("offered", "answered", "refused", "unknown", "wrong", "p99_ms")})
        self.assert_nothing_wrong(result)
        self.assertEqual(result.total["unknown"], 0, result.table)
        self.assertGreaterEqual(result.total["answered"], 10_000, result.table)


if __name__ == "__main__":
    unittest.main()

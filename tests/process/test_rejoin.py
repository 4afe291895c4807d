"""A node that was killed and is started again."""

import time
import unittest

from support import SEED, ProcessTest, load, one_tenant_plan, route, show


class RejoinTest(ProcessTest):
    def test_restarted_node_refuses_no_calls_of_others(self):
        """Guards against a node without a bundle that answers calls faster
        than the others, and thereby attracts and refuses most of them."""
        mix = [load.request(route(self.bundle, "catalogo/stock"))]
        plan = one_tenant_plan(self.bundle, 8, 200, mix)
        running = load.Load(self.deployment, plan, SEED,
                            hosts=self.deployment.hosts_of("cobros"))
        try:
            time.sleep(2)
            node = self.deployment.host("catalogo-1").node
            node.kill()
            time.sleep(0.5)
            node.start()
        finally:
            result = running.result()
        show("kill -9 and restart of one callee node", result.total)
        self.assert_nothing_wrong(result)
        self.assertNotIn("unknown-route", result.total["refused_by_reason"], result.table)


if __name__ == "__main__":
    unittest.main()

#!/usr/bin/env python3
"""Measures the quota messages and the added time of root requests.

Runs the Lantern deployment with all tenants at a share of their rates, on a
route without sub-calls, so that each call is a root request.
"""

import argparse
import json
import sys
import time

import load
from capacity import cpu_seconds, memory_kb, spread
from deployment import (Deployment, DeploymentError, PortChooser, http_json, load_bundle,
                        raise_on_stop)

ROUTE = "catalogo/stock"
COUNTERS = ("root_requests", "quota_borrows", "quota_cached_spends", "quota_recalls",
            "peer_requests")


def sums(deployment):
    """Returns the counters of all nodes, their bytes sent and processor time."""
    out = dict.fromkeys(COUNTERS, 0)
    out["peer_bytes_sent"] = 0
    out["cpu"] = sum(cpu_seconds(host.node.process.pid) for host in deployment.hosts)
    for host in deployment.hosts:
        state = http_json(host.admin, "GET", "/state", timeout=20)
        for name in COUNTERS:
            out[name] += state["counters"]["totals"][name]
        out["peer_bytes_sent"] += state["peer_bytes_sent"]
    return out


def latencies(deployment):
    """Spread over the nodes of the quantiles since their start. They are upper
    ends of histogram bins, each 20% above the one before."""
    rows = [http_json(host.admin, "GET", "/state")["counters"]["latencies"]
            for host in deployment.hosts]
    return {f"{name} {quantile}": spread([row[name][quantile] for row in rows
                                          if row[name][quantile]], 0)
            for name in ("root_request_us", "backend_run_us") for quantile in ("p50", "p99")}


def measure(share, runs, seconds, build):
    bundle, ports = load_bundle("lantern"), PortChooser()
    for host in bundle["hosts"]:
        for name in ("caller_port", "peer_port", "membership_port"):
            host[name] = ports.choose()
    route = next(row for row in bundle["routes"] if row["id"] == ROUTE)
    plan = {"phases": [{"seconds": seconds,
                        "tenants": load.tenants(bundle, share, [load.request(route)])}]}
    with Deployment(bundle, build=build, ports=ports) as deployment:
        time.sleep(5)
        rows = []
        for seed in range(runs):
            before = sums(deployment)
            load.run(deployment, plan, seed + 1)
            after = sums(deployment)
            change = {name: after[name] - before[name] for name in after}
            roots = change["root_requests"]
            rows.append({name + "_per_root": change[name] / roots
                         for name in change if name not in ("root_requests", "cpu")}
                        | {"roots_per_s": roots / seconds,
                           "cpu_ms_per_root": 1000 * change["cpu"] / roots})
        rss = spread([memory_kb(host.node.process.pid)[0] / 1024 for host in deployment.hosts])
        times = latencies(deployment)
    return {"share": share, "rss_mb": rss, **times,
            **{name: spread([row[name] for row in rows]) for name in rows[0]}}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shares", default="0.1,0.3,0.6")
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=6)
    parser.add_argument("--build", default=None)
    options = parser.parse_args()
    raise_on_stop()
    try:
        for share in map(float, options.shares.split(",")):
            print(json.dumps(measure(share, options.runs, options.seconds, options.build)),
                  flush=True)
    except KeyboardInterrupt:
        return 130
    except DeploymentError as error:
        print(f"error: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

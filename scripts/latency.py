#!/usr/bin/env python3
"""Measures the latency that the nodes add to a call, in the lantern deployment.

The same request goes in turn through a node and directly to the backend server.
The zone of the ingress has one server of the called service, so routing stays
on it: `local` enters at that server's node, `peer` at another node of the zone.
`open` calls carry no key and need no quota; `closed` calls spend a token of a
tenant. With `steady` load a second generator sends to all nodes at the same time.
"""

import argparse
import json
import os
import pathlib
import platform
import statistics
import subprocess
import sys

import deployment as dep
import load

SERVER = "catalogo-3"
INGRESS = {"local": SERVER, "peer": "cereria-3"}
TENANT = "faroles-escazu"
BACKGROUND_TENANT = "noches-de-luz"
ROUTES = {"open": "catalogo/listing", "closed": "catalogo/stock"}
# A closed call every 12 ms or more stays below the share of the zone, 100/s.
GAP_US = {"open": 500, "closed": 6000}
REPLY_BYTES = 300
QUANTILES = ("min_ms", "median_ms", "p99_ms")
COUNTERS = ("quota_borrows", "quota_cached_spends", "peer_requests")


def own_ports(bundle, ports):
    """Moves all hosts to free ports, so that deployments can run side by side."""
    for row in bundle["hosts"]:
        for name in ("caller_port", "peer_port", "membership_port"):
            row[name] = ports.choose()
    return bundle


def plan_of(bundle, route, tenant, rate, seconds):
    spec = next(row for row in bundle["routes"] if row["id"] == route)
    row = next(row for row in load.tenants(bundle, 0) if row["tenant"] == tenant)
    mix = [load.request(spec, weight=1, reply_bytes=REPLY_BYTES)]
    return {"phases": [{"name": "load", "seconds": seconds,
                        "tenants": [dict(row, rate=rate, mix=mix,
                                         key="" if spec.get("open") else row["key"])]}]}


def counters(deployment, host):
    totals = dep.http_json(host.admin, "GET", "/state")["counters"]["totals"]
    return {name: totals[name] for name in COUNTERS}


def compare(deployment, hop, kind, count):
    """One run of alternating pairs; returns the generator's results."""
    folder = deployment.folder
    plan = folder / f"compare-{kind}.plan"
    plan.write_text(json.dumps(plan_of(deployment.bundle, ROUTES[kind], TENANT, 1, 1)))
    out = folder / "compare.json"
    ingress = deployment.host(INGRESS[hop])
    before = counters(deployment, ingress)
    subprocess.run(
        [str(deployment.build / "tools/loadgen"), f"--targets={ingress.caller}",
         f"--plan={plan}", f"--compare_direct={deployment.host(SERVER).control}",
         f"--compare_count={count}", f"--compare_gap_us={GAP_US[kind]}", f"--out={out}"],
        check=True, stdout=subprocess.DEVNULL, timeout=300)
    after = counters(deployment, ingress)
    result = json.loads(out.read_text())
    result["counters"] = {name: after[name] - before[name] for name in after}
    result["loadavg"] = os.getloadavg()[0]
    return result


def measure(deployment, options, steady):
    runs = []
    for number in range(options.runs):
        for hop in INGRESS:
            for kind in options.kinds:
                background = None
                if steady:
                    seconds = (options.count + 200) * (2 * GAP_US[kind] + 2000) / 1e6
                    plan = plan_of(deployment.bundle, ROUTES["open"], BACKGROUND_TENANT,
                                   options.rate, seconds)
                    background = load.Load(deployment, plan, number + 1, connections=16)
                result = compare(deployment, hop, kind, options.count)
                if background:
                    background.result()
                runs.append(dict(result, hop=hop, kind=kind, run=number,
                                 load="steady" if steady else "sequential"))
    return runs


def summary(runs):
    """Medians over the runs, for each load, hop and kind."""
    rows = []
    for key in dict.fromkeys((run["load"], run["hop"], run["kind"]) for run in runs):
        same = [run for run in runs if (run["load"], run["hop"], run["kind"]) == key]
        row = dict(zip(("load", "hop", "kind"), key), runs=len(same))
        for side in ("node", "direct", "added"):
            row[side] = {name: statistics.median(run[side][name] for run in same)
                         for name in QUANTILES}
        row["added_p99_range"] = [pick(run["added"]["p99_ms"] for run in same)
                                  for pick in (min, max)]
        rows.append(row)
    return rows


def print_table(rows):
    print("load        hop    kind    side     min ms  median     p99")
    for row in rows:
        for side in ("node", "direct", "added"):
            values = "".join(f"{row[side][name]:8.3f}" for name in QUANTILES)
            print(f"{row['load']:<11} {row['hop']:<6} {row['kind']:<7} {side:<7}{values}")
        low, high = row["added_p99_range"]
        print(f"{'':27}added p99 over {row['runs']} runs: {low:.3f} to {high:.3f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--count", type=int, default=1000, help="pairs in a run")
    parser.add_argument("--rate", type=float, default=200, help="calls/s of the steady load")
    parser.add_argument("--loads", nargs="+", default=["sequential", "steady"],
                        choices=("sequential", "steady"))
    parser.add_argument("--kinds", nargs="+", default=list(ROUTES), choices=list(ROUTES))
    parser.add_argument("--service_time_us", type=int, default=0)
    parser.add_argument("--out", type=pathlib.Path, help="file for the results as JSON")
    options = parser.parse_args()
    dep.raise_on_stop()
    ports = dep.PortChooser()
    bundle = own_ports(dep.load_bundle("lantern"), ports)
    with dep.Deployment(bundle, ports=ports,
                        service_time_us=options.service_time_us) as deployment:
        runs = []
        for kind in options.loads:
            runs += measure(deployment, options, kind == "steady")
        processes = len(deployment.servers)
    report = {
        "machine": {"cores": os.cpu_count(), "kernel": platform.release(),
                    "loadavg": [min(run["loadavg"] for run in runs),
                                max(run["loadavg"] for run in runs)]},
        "processes": processes, "pairs": options.count, "steady_rate": options.rate,
        "service_time_us": options.service_time_us, "reply_bytes": REPLY_BYTES,
        "summary": summary(runs), "runs": runs,
    }
    print_table(report["summary"])
    print(f"{processes} processes, {options.count} pairs a run, service time "
          f"{options.service_time_us} us, {os.cpu_count()} cores, load average "
          f"{report['machine']['loadavg'][0]:.1f} to {report['machine']['loadavg'][1]:.1f}")
    if options.out:
        options.out.write_text(json.dumps(report, indent=1))
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(1)
    except (dep.DeploymentError, subprocess.SubprocessError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)

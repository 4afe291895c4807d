#!/usr/bin/env python3
"""Measures what the control part of a node costs at several sizes.

Starts `pollenwick-node` processes with generated bundles and the stand-in
configuration service, without backend servers and without calls, and reads
processor time, memory, messages and bytes of each node over fixed windows.
Prints one JSON object per size and role; docs/CAPACITY.md uses them.
"""

import argparse
import hashlib
import json
import os
import pathlib
import statistics
import sys
import time

from deployment import (Deployment, DeploymentError, PortChooser, http_call,
                        http_json, raise_on_stop)

MAX_PROCESSES = 150
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
MESSAGE_COUNTERS = ("heartbeats_sent", "heartbeats_received", "config_reads",
                    "quota_borrows", "peer_requests", "bundles_accepted",
                    "heartbeats_rejected")
BYTE_COUNTERS = ("heartbeat_bytes_sent", "heartbeat_bytes_received",
                 "config_bytes_read")
CHAIN = 29  # Longest call chain at the target size.


class QuietDeployment(Deployment):
    """Runs nodes for the first hosts of the bundle and no backend servers."""

    def __init__(self, bundle, running, **options):
        super().__init__(bundle, **options)
        # The other hosts are only listed.
        self.hosts = self.hosts[:running]

    def start(self):
        config = self._server("standin-config", [
            self.build / "tools/standin-config", f"--port={self.config_port}"])
        config.start()
        self._wait_answer(config, self.config, "/stats")
        self.bundle_tool("keygen", "operator", f"--out={self.folder / 'operator'}")
        self.publish()
        for host in self.hosts:
            command = [part for part in self._node_command(host)
                       if not str(part).startswith("--host_list=")]
            host.node = self._server(f"node-{host.id}", command)
            host.node.start()
        for host in self.hosts:
            self.wait_answering(host)

    def wait_answering(self, host, seconds=60):
        """Waits for the bundle, not for /healthz: with most of the listed
        hosts absent a shard can wait for its witnesses."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                state = http_json(host.admin, "GET", "/state", timeout=5)
                if state["config"]["revision"] >= self.bundle["revision"]:
                    return
            except (OSError, DeploymentError, ValueError):
                pass
            time.sleep(0.1)
        raise DeploymentError(f"{host.id} has no bundle after {seconds} s\n"
                              f"{host.node.log_tail()}")


def make_bundle(hosts, zones, services, routes, tenants, ports, running, own_zone=False):
    """Returns the source form of a bundle; call chains are up to 29 deep. With
    `own_zone` the running hosts have a zone to themselves."""
    running = min(hosts, running)
    rows = []
    for number in range(hosts):
        local = number < running
        # Hosts that are only listed have an address where nothing listens.
        port = (lambda kind: ports.choose()) if local else (lambda kind: 7000 + kind)
        rows.append({"id": f"service-host-{number}", "zone": "region-zone-own" if own_zone and local
                     else f"region-zone-{number % zones}",
                     "service": f"service-{number % services}",
                     "address": "127.0.0.1" if local else
                     f"127.1.{1 + number // 250}.{1 + number % 250}",
                     "caller_port": port(1), "peer_port": port(2), "membership_port": port(3)})
    names = [f"service-{number % services}/route-{number}" for number in range(routes)]
    return {
        "revision": 1, "parent": "0" * 64,
        "services": [{"id": f"service-{number}", "slots": 50, "connections": 500}
                     for number in range(services)],
        "hosts": rows,
        "tenants": [{"id": f"tenant-{number}", "rate": 1000, "burst": 300}
                    for number in range(tenants)],
        "keys": [{"tenant": f"tenant-{number}",
                  "sha256": hashlib.sha256(f"dev-tenant-{number}".encode()).hexdigest()}
                 for number in range(tenants)],
        "classes": [{"id": "payment", "rank": 0}, {"id": "lookup", "rank": 1}],
        "routes": [{"id": name, "class": "lookup",
                    "calls": [{"route": names[number - 1], "count": 1}]
                    if number % CHAIN else []}
                   for number, name in enumerate(names)],
        "policy": {"retry_allowance": 3, "retry_ratio_permille": 100, "view_lease_ms": 5000,
                   "quota_lease_ms": 500, "ticket_lifetime_ms": 60000,
                   "quarantine_time_ms": 600000, "max_body_bytes": 8388608,
                   "witnesses": [row["id"] for row in rows[:5]]},
    }


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_kb(pid):
    """Returns (resident, private) in KB."""
    values = {}
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, value = line.split(":")
        values[name] = int(value.split()[0])
    return values["Rss"], values["Private_Clean"] + values["Private_Dirty"]


def threads(pid):
    """Returns {thread: (name, cpu seconds, times it went to sleep)}."""
    out = {}
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            cpu = int((task / "schedstat").read_text().split()[0]) / 1e9
            status = (task / "status").read_text()
            sleeps = int(status.split("voluntary_ctxt_switches:")[1].split()[0])
            out[int(task.name)] = ((task / "comm").read_text().strip(), cpu, sleeps)
        except (OSError, IndexError):
            continue  # The thread has ended.
    return out


class Reading:
    """Everything that is read of one node at one moment."""

    def __init__(self, host, cpu_first):
        pid = host.node.process.pid
        # The processor time of the reading itself stays outside the window.
        cpu = cpu_seconds(pid) if cpu_first else None
        self.state = http_json(host.admin, "GET", "/state", timeout=20)
        totals = self.state["counters"]["totals"]
        self.counters = {name: totals[name] for name in MESSAGE_COUNTERS}
        self.bytes = {name: totals.get(name, 0) for name in BYTE_COUNTERS}
        for name in ("peer_bytes_sent", "peer_bytes_received"):
            self.bytes[name] = self.state.get(name, 0)
        self.memory = memory_kb(pid)
        self.at = time.monotonic()
        self.cpu = cpu_seconds(pid) if cpu is None else cpu


def service_calls(deployment):
    return http_json(deployment.config, "GET", "/stats")["reads_and_watches"]


def role_of(reading, host, deployment, parents):
    roles = []
    if reading.state["config"]["watcher"]:
        roles.append("watcher")
    if host.id in parents:
        roles.append("parent")
    if host.id in deployment.bundle["policy"]["witnesses"]:
        roles.append("witness")
    if reading.state["quota"]["shards"]:
        roles.append("holder")
    return roles + ["member"] if roles else ["plain", "member"]


def spread(values, digits=3):
    return {"min": round(min(values), digits), "median": round(statistics.median(values), digits),
            "max": round(max(values), digits)}


def window(deployment, seconds, change=None):
    """One window. Returns ({role: {figure: mean per node}}, service calls/s)."""
    before = {host.id: Reading(host, False) for host in deployment.hosts}
    calls, began = service_calls(deployment), time.monotonic()
    if change:
        change(seconds)
    time.sleep(max(0, began + seconds - time.monotonic()))
    rate = (service_calls(deployment) - calls) / (time.monotonic() - began)
    after = {host.id: Reading(host, True) for host in deployment.hosts}
    parents = {name for reading in after.values()
               for name in reading.state["membership"]["parents"][:1]}
    rows = {}
    for host in deployment.hosts:
        old, new = before[host.id], after[host.id]
        took = new.at - old.at
        row = {"cpu_percent": 100 * (new.cpu - old.cpu) / took,
               "rss_mb": new.memory[0] / 1024, "private_mb": new.memory[1] / 1024,
               "shards": len(new.state["quota"]["shards"])}
        for name in new.counters:
            row[name + "_per_s"] = (new.counters[name] - old.counters[name]) / took
        for name in new.bytes:
            row[name + "_per_s"] = (new.bytes[name] - old.bytes[name]) / took
        row["control_kb_per_s"] = sum(row[name + "_per_s"] for name in new.bytes) / 1000
        for role in role_of(new, host, deployment, parents):
            rows.setdefault(role, []).append(row)
    means = {role: {name: statistics.mean(row[name] for row in group) for name in group[0]}
             | {"nodes": len(group)} for role, group in rows.items()}
    return means, rate


def thread_profile(deployment, seconds):
    """Processor time and wake-ups of the busiest threads of a member."""
    pid = deployment.hosts[-1].node.process.pid
    before = threads(pid)
    time.sleep(seconds)
    after = threads(pid)
    rows = [{"order": order, "name": after[task][0],
             "cpu_percent": round(100 * (after[task][1] - before[task][1]) / seconds, 3),
             "wakes_per_s": round((after[task][2] - before[task][2]) / seconds, 1)}
            for order, task in enumerate(sorted(after)) if task in before]
    return [row for row in rows if row["wakes_per_s"] > 0]


def rollouts(deployment, per_second):
    """Returns a change that publishes revisions; each one alters one tenant."""
    took = []

    def publish(seconds):
        end = time.monotonic() + seconds - 1
        while time.monotonic() < end:
            began = time.monotonic()

            def alter(bundle):
                bundle["tenants"][0]["rate"] += 1
            deployment.revise(alter)
            wanted, published = deployment.bundle["revision"], time.monotonic()
            while not all(http_json(host.admin, "GET", "/state")["config"]["revision"] >= wanted
                          for host in deployment.hosts[::8]):
                time.sleep(0.05)
            took.append(time.monotonic() - published)
            time.sleep(max(0, min(end, began + 1 / per_second) - time.monotonic()))
    return publish, took


def measure(options, size):
    sizes = {"hosts": options.hosts, "tenants": options.tenants, "services": options.services,
             "routes": options.routes, "running": options.running}
    sizes[options.by] = size
    if options.by == "running":
        sizes["hosts"] = size
    if options.by == "services":
        sizes["routes"] = 5 * size
    changes = size if options.by == "changes" else options.changes
    sizes.pop("changes", None)
    ports = PortChooser()
    bundle = make_bundle(zones=options.zones, ports=ports, own_zone=options.own_zone, **sizes)
    out = {"by": options.by, "size": size, "window_s": options.seconds, "runs": options.runs,
           "load_average": os.getloadavg()[0], **{k: v for k, v in sizes.items()}}
    if sizes["running"] + 1 > MAX_PROCESSES:
        raise DeploymentError(f"{sizes['running']} nodes; use at most {MAX_PROCESSES}")
    with QuietDeployment(bundle, sizes["running"], ports=ports,
                         build=options.build) as deployment:
        time.sleep(options.settle)
        if options.outage:
            status, _, _ = http_call(deployment.config, "POST", "/control", '{"down": true}')
            out["outage"] = status == 200
            time.sleep(5)
        runs, rates, delays = [], [], []
        for _ in range(options.runs):
            change = None
            if changes:
                change, took = rollouts(deployment, changes)
            means, rate = window(deployment, options.seconds, change)
            runs.append(means)
            rates.append(rate)
            if changes:
                delays += took
        out["service_calls_per_s"] = spread(rates)
        if delays:
            out["changes"] = len(delays)
            out["in_force_s"] = spread(delays)
        out["roles"] = {role: {name: spread([run[role][name] for run in runs if role in run])
                               for name in runs[-1][role]
                               if any(run[role][name] for run in runs if role in run)}
                        for role in runs[-1]}
        out["threads_of_one_member"] = thread_profile(deployment, 4)
        out["threads"] = len(threads(deployment.hosts[-1].node.process.pid))
    return out


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--by", default="running", help="what the sizes vary",
                        choices=("running", "tenants", "services", "routes", "hosts", "changes"))
    parser.add_argument("--sizes", default="12,24,48,96")
    parser.add_argument("--running", type=int, default=12, help="nodes that run")
    parser.add_argument("--hosts", type=int, default=12, help="hosts in the bundle")
    parser.add_argument("--tenants", type=int, default=8)
    parser.add_argument("--services", type=int, default=4)
    parser.add_argument("--routes", type=int, default=20)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--own-zone", action="store_true",
                        help="the running nodes are a zone, so that they have parents")
    parser.add_argument("--changes", type=float, default=0, help="revisions per second")
    parser.add_argument("--outage", action="store_true",
                        help="the configuration service is down while measuring")
    parser.add_argument("--runs", type=int, default=5, help="windows per size")
    parser.add_argument("--seconds", type=float, default=6, help="length of a window")
    parser.add_argument("--settle", type=float, default=8, help="wait before the first window")
    parser.add_argument("--build", default=None)
    parser.add_argument("--out", help="file to which the results are added")
    options = parser.parse_args()
    raise_on_stop()
    number = float if options.by == "changes" else int
    try:
        for size in map(number, options.sizes.split(",")):
            result = json.dumps(measure(options, size))
            print(result, flush=True)
            if options.out:
                with open(options.out, "a") as out:
                    out.write(result + "\n")
    except KeyboardInterrupt:
        return 130
    except DeploymentError as error:
        print(f"error: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

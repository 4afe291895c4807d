#!/usr/bin/env python3
"""Measures the memory of a node with many open caller connections.

Each connection sends one request and stays open. Reads /proc/PID/smaps_rollup.
"""

import argparse
import json
import socket
import sys
import time

import deployment as dep
from latency import SERVER, own_ports

REQUEST = (b"GET /catalogo/listing?bytes=300 HTTP/1.1\r\nHost: node\r\n"
           b"Client-Request-Id: c\r\n\r\n")
SETTLE_SECONDS = 2


class WideDeployment(dep.Deployment):
    """Nodes with a thread for each of `threads` caller connections."""

    def __init__(self, *arguments, threads, **more):
        self.threads = threads
        super().__init__(*arguments, **more)

    def _node_command(self, host):
        return super()._node_command(host) + [f"--caller_threads={self.threads}"]


def memory_kb(pid):
    rows = {}
    with open(f"/proc/{pid}/smaps_rollup", encoding="ascii") as file:
        for line in list(file)[1:]:
            name, value = line.split(":")
            rows[name] = int(value.split()[0])
    return {name: rows[name] for name in ("Rss", "Pss", "Private_Dirty")}


def open_connection(host):
    connection = socket.create_connection((host.address, host.caller_port), timeout=10)
    connection.sendall(REQUEST)
    if not connection.recv(4096).startswith(b"HTTP/1.1 200"):
        raise dep.DeploymentError("a connection was not served; raise --threads")
    return connection


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--threads", type=int, default=1300, help="caller threads of a node")
    parser.add_argument("--counts", type=int, nargs="+", default=[0, 128, 512, 1250])
    options = parser.parse_args()
    dep.raise_on_stop()
    ports = dep.PortChooser()
    bundle = own_ports(dep.load_bundle("lantern"), ports)
    with WideDeployment(bundle, ports=ports, threads=options.threads,
                        service_time_us=0) as deployment:
        host = deployment.host(SERVER)
        pid = host.node.process.pid
        kept = []
        for count in options.counts:
            while len(kept) < count:
                kept.append(open_connection(host))
            time.sleep(SETTLE_SECONDS)
            print(json.dumps({"connections": count, **memory_kb(pid)}), flush=True)
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(1)
    except (dep.DeploymentError, OSError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(1)

#!/usr/bin/env python3
"""Starts a deployment on this machine: the stand-ins of the outside systems,
and one backend server and one node for each host of a bundle.

Run as a program it holds the deployment until it is interrupted.
"""

import argparse
import ctypes
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Below the ephemeral ports of Linux (32768 up), so that an outgoing connection
# does not take a port between its choice and its use.
FIRST_PORT = 23000
LAST_PORT = 31999
START_SECONDS = 20
STOP_SECONDS = 5
PR_SET_PDEATHSIG = 1


class DeploymentError(Exception):
    """A process of the deployment does not start or answer."""


class PortChooser:
    """Hands out ports that are free for TCP and UDP on 127.0.0.1."""

    def __init__(self, seed=None):
        seed = os.getpid() if seed is None else seed
        # Processes that choose at the same time start far apart.
        self.upcoming = FIRST_PORT + seed * 1009 % (LAST_PORT - FIRST_PORT)

    def choose(self):
        for _ in range(FIRST_PORT, LAST_PORT):
            port = self.upcoming
            self.upcoming = port + 1 if port < LAST_PORT else FIRST_PORT
            if self._is_free(port):
                return port
        raise DeploymentError("no free port; stop other deployments")

    @staticmethod
    def _is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    return False
        return True


def http_call(address, method, path, body=None, headers=None, timeout=5):
    """Returns (status, headers, body). Raises OSError or HTTPException."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, reply.headers, reply.read()
    finally:
        connection.close()


def http_json(address, method, path, value=None, timeout=5):
    body = None if value is None else json.dumps(value)
    status, _, text = http_call(address, method, path, body, timeout=timeout)
    if status != 200:
        raise DeploymentError(f"{method} {address}{path} answered {status}: {text[:200]!r}")
    return json.loads(text)


def end_with_parent():
    """Runs in the child: it is stopped when this process is killed."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


class Server:
    """One started process with a log file."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = [str(part) for part in command]
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=end_with_parent)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.running():
            self.process.send_signal(number)

    def wait(self, seconds):
        """Returns the exit status, or None when it still runs."""
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()

    def log_tail(self, lines=15):
        text = self.log_path.read_text(errors="replace") if self.log_path.exists() else ""
        return "\n".join(text.splitlines()[-lines:])


class Host:
    """A host of the bundle with the ports that the bundle does not name."""

    def __init__(self, row, ports):
        self.id = row["id"]
        self.service = row["service"]
        self.zone = row["zone"]
        self.address = row["address"]
        self.caller_port = row["caller_port"]
        self.peer_port = row["peer_port"]
        self.membership_port = row["membership_port"]
        self.egress_port = ports.choose()
        self.admin_port = ports.choose()
        self.backend_port = ports.choose()
        self.node = None
        self.backend = None

    @property
    def caller(self):
        return f"{self.address}:{self.caller_port}"

    @property
    def admin(self):
        return f"127.0.0.1:{self.admin_port}"

    @property
    def control(self):
        return f"127.0.0.1:{self.backend_port}"


class Deployment:
    """Owns every process it starts. Use as a context manager."""

    def __init__(self, bundle, build=None, ports=None, service_time_us=1000,
                 cold_start_ms=0, lag_ms=2000, backend_flags=()):
        self.build = pathlib.Path(build or os.environ.get("POLLENWICK_BUILD", ROOT / "build"))
        self.bundle = bundle
        self.ports = ports or PortChooser()
        self.service_time_us = service_time_us
        self.cold_start_ms = cold_start_ms
        self.lag_ms = lag_ms
        self.backend_flags = list(backend_flags)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pollenwick-"))
        self.hosts = [Host(row, self.ports) for row in bundle["hosts"]]
        self.config_port = self.ports.choose()
        self.host_list_port = self.ports.choose()
        self.servers = []
        self.keep_logs = False

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.keep_logs = True
            self.stop()
            raise
        return self

    def __exit__(self, kind, value, trace):
        self.keep_logs = self.keep_logs or kind is not None
        self.stop()

    @property
    def config(self):
        return f"127.0.0.1:{self.config_port}"

    @property
    def host_list(self):
        return f"127.0.0.1:{self.host_list_port}"

    def host(self, name):
        return next(host for host in self.hosts if host.id == name)

    def hosts_of(self, service):
        return [host for host in self.hosts if host.service == service]

    def callers(self, hosts=None):
        return ",".join(host.caller for host in hosts or self.hosts)

    def start(self):
        config = self._server("standin-config", [
            self.build / "tools/standin-config", f"--port={self.config_port}"])
        hosts = self._server("standin-hosts", [
            self.build / "tools/standin-hosts", f"--port={self.host_list_port}",
            f"--lag_ms={self.lag_ms}", "--hosts=" + ",".join(host.id for host in self.hosts)])
        config.start()
        hosts.start()
        self._wait_answer(config, self.config, "/stats")
        self._wait_answer(hosts, self.host_list, "/v1/hosts")
        self.bundle_tool("keygen", "operator", f"--out={self.folder / 'operator'}")
        self.publish()
        for host in self.hosts:
            host.backend = self._server(f"backend-{host.id}", self._backend_command(host))
            host.node = self._server(f"node-{host.id}", self._node_command(host))
            host.backend.start()
        for host in self.hosts:
            self._wait_answer(host.backend, host.control, "/health")
        (self.folder / "addresses.json").write_text(json.dumps(self.addresses(), indent=1))
        for host in self.hosts:
            host.node.start()
        for host in self.hosts:
            self.wait_healthy(host)

    def stop(self):
        nodes = [host.node for host in self.hosts if host.node]
        others = [server for server in self.servers if server not in nodes]
        for group in (nodes, others):
            for server in group:
                server.send(signal.SIGCONT)
                server.send(signal.SIGTERM)
            end = time.monotonic() + STOP_SECONDS
            for server in group:
                if server.running() and server.wait(max(0, end - time.monotonic())) is None:
                    server.kill()
        if self.keep_logs:
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self):
        """Signs the bundle and makes it the newest revision."""
        source = self.folder / "bundle.json"
        source.write_text(json.dumps(self.bundle))
        signed = self.folder / f"revision-{self.bundle['revision']}"
        self.bundle_tool("sign", source, f"--key={self.folder / 'operator.key'}",
                         f"--out={signed}", f"--service={self.config}")
        self.bundle_tool("rollout", signed, f"--service={self.config}")

    def revise(self, change):
        """Applies `change` to the bundle and publishes it as a new revision."""
        change(self.bundle)
        self.bundle["revision"] += 1
        self.publish()

    def bundle_tool(self, *arguments):
        command = [str(self.build / "apps/pollenwick-bundle")] + [str(part) for part in arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if done.returncode != 0:
            raise DeploymentError(f"{' '.join(command)} exited with {done.returncode}: "
                                  f"{done.stderr or done.stdout}")
        return done.stdout

    def start_backend(self, host):
        host.backend.start()
        self._wait_answer(host.backend, host.control, "/health")

    def wait_healthy(self, host, seconds=START_SECONDS):
        self._wait_answer(host.node, host.admin, "/healthz", seconds)

    def records(self, host):
        return http_json(host.control, "GET", "/control/records", timeout=20)

    def addresses(self):
        """What a person needs to try the deployment by hand."""
        keys = {row["tenant"]: "dev-" + row["tenant"] for row in self.bundle["keys"]}
        return {
            "caller_ports": {host.id: host.caller for host in self.hosts},
            "admin_ports": {host.id: host.admin for host in self.hosts},
            "backend_control_ports": {host.id: host.control for host in self.hosts},
            "config_control_port": self.config,
            "host_list_control_port": self.host_list,
            "keys": keys,
            "node_processes": {host.id: host.node.process.pid for host in self.hosts
                               if host.node.process},
            "folder": str(self.folder),
        }

    def _server(self, name, command):
        server = Server(name, command, self.folder)
        self.servers.append(server)
        return server

    def _backend_command(self, host):
        spec = next(row for row in self.bundle["services"] if row["id"] == host.service)
        return [self.build / "tools/standin-backend", f"--service={host.service}",
                f"--port={host.backend_port}", f"--egress=127.0.0.1:{host.egress_port}",
                f"--routes={self.folder / 'bundle.json'}", f"--slots={spec['slots']}",
                f"--connections={spec['connections']}",
                f"--service_time_us={self.service_time_us}",
                f"--cold_start_ms={self.cold_start_ms}"] + self.backend_flags

    def _node_command(self, host):
        seeds = {}
        for other in self.hosts:
            seeds.setdefault(other.zone, f"{other.address}:{other.peer_port}")
        return [self.build / "apps/pollenwick-node", f"--host_id={host.id}",
                f"--zone={host.zone}", f"--address={host.address}",
                f"--caller_port={host.caller_port}", f"--egress_port={host.egress_port}",
                f"--peer_port={host.peer_port}", f"--membership_port={host.membership_port}",
                f"--admin_port={host.admin_port}", f"--backend=127.0.0.1:{host.backend_port}",
                f"--config_service={self.config}", f"--host_list={self.host_list}",
                f"--operator_key={self.folder / 'operator.pub'}",
                "--seeds=" + ",".join(seeds.values())]

    @staticmethod
    def _wait_answer(server, address, path, seconds=START_SECONDS):
        end = time.monotonic() + seconds
        seen = "no answer"
        while time.monotonic() < end:
            if not server.running():
                raise DeploymentError(f"{server.name} exited with {server.process.returncode}; "
                                      f"command: {' '.join(server.command)}\n{server.log_tail()}")
            try:
                status, _, body = http_call(address, "GET", path, timeout=1)
                if status == 200:
                    return
                seen = f"{status} {body[:200]!r}"
            except (OSError, http.client.HTTPException) as error:
                seen = repr(error)
            time.sleep(0.05)
        raise DeploymentError(f"{server.name}: GET {address}{path} gave {seen} for {seconds} s\n"
                              f"{server.log_tail()}")


def load_bundle(deployment):
    return json.loads((ROOT / "examples" / deployment / "bundle.json").read_text())


def raise_on_stop():
    """Turns SIGTERM into an exception, so that the deployment is stopped."""
    def handler(number, frame):
        raise KeyboardInterrupt
    signal.signal(signal.SIGTERM, handler)
    signal.signal(signal.SIGHUP, handler)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=("lantern", "pier"), default="lantern")
    options = parser.parse_args()
    raise_on_stop()
    try:
        with Deployment(load_bundle(options.deployment)) as deployment:
            print(json.dumps(deployment.addresses()), flush=True)
            while True:
                time.sleep(1)
    except KeyboardInterrupt:
        return 0
    except DeploymentError as error:
        print(f"error: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())

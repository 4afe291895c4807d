"""Plans for the load generator, and its results."""

import json
import pathlib
import subprocess
import threading

REPLY_BYTES = {"photo": 20000, "listing": 2000}
BODY_BYTES = {"photo": 30000}
DEFAULT_BYTES = 300
# Share of each class in a mixed load; the classes of both deployments.
WEIGHTS = {"lookup": 8, "listing": 4, "deposit": 2, "pledge": 2, "photo": 1,
           "order": 0.5, "engraving": 0.5, "booking": 1, "sponsorship": 1}


def request(route, weight=None, **more):
    """One entry of a mix from the route of a bundle."""
    kind = route["class"]
    return dict({
        "route": route["id"],
        "class": kind,
        "weight": WEIGHTS.get(kind, 1) if weight is None else weight,
        "reply_bytes": REPLY_BYTES.get(kind, DEFAULT_BYTES),
        "body_bytes": BODY_BYTES.get(kind, 0),
        "non_idempotent": not route.get("idempotent", True),
    }, **more)


def mixed(bundle):
    return [request(route) for route in bundle["routes"] if not route.get("internal")]


def tenants(bundle, share, mix=None, retries=None):
    """All tenants at a share of their rates."""
    rows = []
    for row in bundle["tenants"]:
        rows.append({
            "tenant": row["id"],
            "key": "dev-" + row["id"],
            "rate": row["rate"] * share,
            "limit": {"rate": row["rate"], "burst": row["burst"]},
            "mix": mix or mixed(bundle),
        })
        if retries:
            rows[-1]["retries"] = retries
    return rows


class Result:
    """Results of one run of the load generator."""

    def __init__(self, folder, name, table):
        self.table = table
        self.json = json.loads((folder / f"{name}.json").read_text())
        self.outcomes = [json.loads(line) for line in
                         (folder / f"{name}.outcomes").read_text().splitlines()]

    @property
    def total(self):
        return self.json["total"]

    def ended(self, outcome):
        return [row for row in self.outcomes if row["outcome"] == outcome]


class Load:
    """A run of the load generator in the background."""

    def __init__(self, deployment, plan, seed, name="load", hosts=None, connections=64, flags=()):
        self.folder = pathlib.Path(deployment.folder)
        self.name = name
        plan_path = self.folder / f"{name}.plan"
        plan_path.write_text(json.dumps(plan))
        seconds = sum(phase["seconds"] for phase in plan["phases"])
        self.limit = seconds + 60
        self.process = subprocess.Popen(
            [str(deployment.build / "tools/loadgen"), f"--targets={deployment.callers(hosts)}",
             f"--plan={plan_path}", f"--seed={seed}", f"--id_prefix={name}-{seed}-",
             f"--connections={connections}", f"--out={self.folder / name}.json",
             f"--outcomes={self.folder / name}.outcomes", *flags],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        # The table is read while the generator runs, so that it never blocks.
        self.table = ""
        self.reader = threading.Thread(target=self._read)
        self.reader.start()

    def _read(self):
        self.table = self.process.stdout.read()

    def result(self):
        try:
            status = self.process.wait(self.limit)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise
        finally:
            self.process.wait()
            self.reader.join()
            self.process.stdout.close()
        if status != 0:
            raise RuntimeError(f"loadgen exited with {status}: {self.table}")
        return Result(self.folder, self.name, self.table)


def run(deployment, plan, seed, **more):
    return Load(deployment, plan, seed, **more).result()

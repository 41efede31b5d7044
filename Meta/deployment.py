"""Starts and stops a deployment of stand-ins and daemons on the loopback interface."""

import hashlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

SECRET = "bench-cluster-secret"
OPERATOR_TOKEN = "bench-operator-token"
OWNER_TOKEN = "bench-owner-token"
START_TIMEOUT_SECONDS = 20


class Process:
    """A child process that writes its addresses to a ready file."""

    def __init__(self, directory, name, command):
        self.name = name
        self.command = command
        self.ready_path = pathlib.Path(directory, name + ".ready")
        self.log_path = pathlib.Path(directory, name + ".log")
        self.start()

    def start(self):
        self.ready_path.unlink(missing_ok=True)
        environment = dict(
            os.environ,
            RADISHPLANK_CLUSTER_SECRET=SECRET,
            RADISHPLANK_OPERATOR_TOKEN=OPERATOR_TOKEN,
        )
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.child = subprocess.Popen(
                self.command + [f"--ready-file={self.ready_path}"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not self.ready_path.exists():
            if time.monotonic() > deadline or self.child.poll() is not None:
                raise RuntimeError(f"{self.name} did not start: {self.log_path.read_text()}")
            time.sleep(0.01)
        self.addresses = json.loads(self.ready_path.read_text())

    def kill(self):
        self.child.kill()
        self.child.wait()

    def stop(self):
        self.child.send_signal(signal.SIGTERM)

    def usage(self):
        """Returns the CPU time in seconds and the resident memory in bytes."""
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int(pathlib.Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        return ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE")


def http(method, address, path, body=None, token=None, headers=None, timeout=30):
    """Returns status and body of the response; on a failed call, status 0 and the error."""
    request = urllib.request.Request(f"http://{address}{path}", method=method)
    if body is not None:
        request.data = body if isinstance(body, bytes) else body.encode()
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


class Deployment:
    """Context manager that runs a platform, engines, agents and entry processes."""

    def __init__(self, build):
        self.build = pathlib.Path(build)
        self.directory = tempfile.mkdtemp(prefix="radishplank-bench-")
        self.processes = []
        self.engines = []
        self.agents = []
        self.entries = []
        self.proxy = None

    def __enter__(self):
        self.platform = self.spawn("platform", [self.standin(), "platform"])
        self.store = self.platform.addresses["http"]
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            if process.child.poll() is None:
                process.kill()
        shutil.rmtree(self.directory, ignore_errors=True)

    def standin(self):
        return str(self.build / "Utilities/radishplank-standin/radishplank-standin")

    def daemon(self):
        return str(self.build / "Services/radishplankd/radishplankd")

    def load_tool(self):
        return str(self.build / "Utilities/radishplank-load/radishplank-load")

    def spawn(self, name, command):
        process = Process(self.directory, name, command)
        self.processes.append(process)
        return process

    def route(self, name, link, target=None):
        """Opens a route over a link of the fault proxy, or sets the route's target; returns the
        address of the route."""
        if self.proxy is None:
            self.proxy = self.spawn("faultproxy", [self.standin(), "faultproxy"])
        change = {"target": target} if target else {"link": link}
        status, body = http("PUT", self.proxy.addresses["http"], f"/routes/{name}",
                            json.dumps(change))
        if status != 200:
            raise RuntimeError(f"cannot change route {name}: {status} {body}")
        return json.loads(body)["listen"]

    def link(self, name, **change):
        """Sets the faults, the delay or the bandwidth of a link."""
        http("POST", self.proxy.addresses["http"], f"/links/{name}", json.dumps(change))

    def add_upstream(self, zone, region, slots, token_interval, engine=(), agent=(), link=None,
                     pool="assistant", models=None):
        """Starts an engine and its agent. If a link is given, other processes reach the agent only
        over it. If models (comma-separated) are given, the engine loads them on demand."""
        number = len(self.engines)
        if models:
            engine = (*engine, f"--weight-store={self.store}")
        if link:
            agent = (*agent,
                     f"--data-advertise={self.route(f'agent{number}-data', link)}",
                     f"--control-advertise={self.route(f'agent{number}-control', link)}")
        engine_process = self.spawn(
            f"engine{number}",
            [self.standin(), "engine", f"--slots={slots}", f"--token-interval={token_interval}",
             *engine],
        )
        self.engines.append(engine_process)
        self.agents.append(self.spawn(
            f"agent{number}",
            [self.daemon(), "agent", f"--node=agent{number}", f"--zone={zone}",
             f"--region={region}", f"--store={self.store}",
             f"--upstream={engine_process.addresses['http']}",
             f"--models={models}" if models else f"--pools={pool}",
             f"--slots={slots}", "--threads=1", *agent],
        ))
        if link:
            for kind in ("data", "control"):
                self.route(f"agent{number}-{kind}", link,
                           self.agents[-1].addresses[kind])

    def add_entry(self, zone, region, arguments=()):
        number = len(self.entries)
        entry = self.spawn(
            f"entry{number}",
            [self.daemon(), "entry", f"--node=entry{number}", f"--zone={zone}",
             f"--region={region}", f"--store={self.store}", "--lame-duck=100", *arguments],
        )
        self.entries.append(entry)
        return entry

    def put(self, key, value, entry=0):
        operators = self.entries[entry].addresses["operator"]
        status, body = http("PUT", operators, f"/catalogue/{key}", json.dumps(value),
                            OPERATOR_TOKEN, {"If-Version": "0"})
        if status != 200:
            raise RuntimeError(f"cannot put {key}: {status} {body}")

    def put_catalogue(self, owner, limits=None, entry="assistant"):
        digest = hashlib.sha256(OWNER_TOKEN.encode()).hexdigest()
        self.put(f"owners/{owner}", {"tokenDigest": digest, "limits": limits or {}})
        self.put(f"entries/{owner}/{entry}", {"pool": entry})
        self.wait_ready(entry)

    def wait_ready(self, name):
        """Waits until every entry process lists the entry and its upstreams accept work."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for entry in self.entries:
            while time.monotonic() < deadline:
                status, body = http("GET", entry.addresses["callers"], "/v1/models",
                                    token=OWNER_TOKEN)
                upstreams = self.state(entry)["upstreams"]
                accepting = sum(1 for each in upstreams if each["accepting"])
                if status == 200 and name in body and accepting == len(upstreams) > 0:
                    break
                time.sleep(0.05)
            else:
                raise RuntimeError("the deployment did not become ready")

    def state(self, entry):
        return json.loads(http("GET", entry.addresses["operator"], "/state",
                               token=OPERATOR_TOKEN)[1])

    def metric(self, name):
        """Returns the sum of a counter over all running entry processes."""
        total = 0.0
        for entry in self.entries:
            if entry.child.poll() is not None:
                continue
            for line in http("GET", entry.addresses["operator"], "/metrics")[1].splitlines():
                if line.startswith(name + " "):
                    total += float(line.split()[1])
        return total

    def engine_stats(self):
        return [json.loads(http("GET", engine.addresses["http"], "/stats")[1])
                for engine in self.engines if engine.child.poll() is None]

    def store_counts(self):
        return json.loads(http("GET", self.store, "/counts")[1])

    def callers(self):
        return ",".join(entry.addresses["callers"] for entry in self.entries
                        if entry.child.poll() is None)

    def submit(self, name, items, tokens, entry=0):
        lines = "".join(
            json.dumps({"id": f"i{number}",
                        "body": {"prompt": f"{name} proof {number}", "max_tokens": tokens}}) + "\n"
            for number in range(items))
        status, body = http("PUT", self.entries[entry].addresses["callers"],
                            f"/v1/batches/{name}?entry=assistant", lines, OWNER_TOKEN)
        if status not in (200, 201):
            raise RuntimeError(f"cannot submit {name}: {status} {body}")

    def job_status(self, name, entry=0):
        status, body = http("GET", self.entries[entry].addresses["callers"],
                            f"/v1/batches/{name}", token=OWNER_TOKEN)
        return json.loads(body) if status == 200 else {}

    def results(self, name, entry=0):
        status, body = http("GET", self.entries[entry].addresses["callers"],
                            f"/v1/batches/{name}/results", token=OWNER_TOKEN)
        return [json.loads(line) for line in body.splitlines()] if status == 200 else []

    def generate(self, path, **settings):
        command = [self.load_tool(), f"--trace={path}"]
        command += [f"--{name}={value}" for name, value in settings.items()]
        subprocess.run(command + ["generate"], check=True, stdout=subprocess.DEVNULL)

    def start_replay(self, trace, callers=None, csv=None, direct=False):
        command = [self.load_tool(), f"--trace={trace}", f"--callers={callers or self.callers()}",
                   f"--token={OWNER_TOKEN}", f"--direct={'true' if direct else 'false'}"]
        if csv:
            command.append(f"--csv={csv}")
        return subprocess.Popen(command + ["replay"], stdout=subprocess.PIPE, text=True)

    def replay(self, trace, **options):
        output, _ = self.start_replay(trace, **options).communicate()
        return json.loads(output)

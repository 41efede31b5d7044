"""Servers name a Server-Limit for some seconds; later, items of one process reach no server."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

import harness  # noqa: E402

ENTRIES = ("front-1", "front-2", "front-3")
FINISH_S = harness.BOUNDS["finish_s"]
ITEMS = 4
NEED_S = 12.0


class NeedyServer(harness.Server):
    """Names a limit in its answers while it is in need."""

    needs_until = 0.0

    def run(self, connection, request, headers, base):
        if time.monotonic() < NeedyServer.needs_until:
            base = base + [("Server-Limit", "1")]
        super().run(connection, request, headers, base)


def case(deployment, record, is_troubled):
    deployment.configure(1, [harness.batch_route()])
    servers = [NeedyServer(f"{deployment.base}.{100 + index}", f"server-{index}",
                           deployment.store, record) for index in range(2)]
    for server in servers:
        # A run takes 0.6 s.
        server.events, server.gap_s = 12, 0.05
        server.register()
    for entry in ENTRIES:
        deployment.start(entry)
    deployment.wait_until_ready()
    time.sleep(6)

    jobs = {}

    def submit(job, entry):
        items = [(f"{job}-item{index}", f"/lots/run/{job}/{index}", {"X-Model": "m"}, b"text")
                 for index in range(ITEMS)]
        answer = harness.call(deployment.callers(entry), "POST", f"/lots/{job}",
                              [("X-Attempt-Id", job)], harness.job_body(items))
        record(f"client: submits {job} with {ITEMS} items to {entry}, answer {answer.status}")
        if answer.status != 202:
            raise harness.CannotRun("a job was not accepted")
        jobs[job] = 0

    def read_all():
        for job in jobs:
            answer = deployment.results("front-1", job)
            if answer.status == 200:
                jobs[job] = len(answer.json()["results"])
        return all(count >= ITEMS for count in jobs.values())

    if is_troubled:
        NeedyServer.needs_until = time.monotonic() + NEED_S
        record(f"servers: name Server-Limit: 1 in their answers for {NEED_S:.0f} s")
    submit("first", "front-1")
    time.sleep(2)
    for entry in ENTRIES:
        submit(f"lot-{entry}", entry)
    time.sleep(NEED_S - 2)
    record("servers: name no limit any more" if is_troubled else "servers: named no limit")
    record("clients: send nothing more; batch jobs have finish_s more")
    time.sleep(FINISH_S)
    ended_at = time.monotonic()
    is_done = read_all()
    for job, count in jobs.items():
        record(f"client: {count} of {ITEMS} items of {job} are listed")
    recent = [at for server in servers for at, _ in server.runs if at > ended_at - 5]
    record(f"servers: began {len(recent)} requests in the last 5 s")
    return not is_done and not recent


harness.main(FOLDER, case)

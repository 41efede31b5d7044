"""Items that wait for a service without servers keep the items of another service from running."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

import harness  # noqa: E402

ENTRY = "front-1"
FINISH_S = harness.BOUNDS["finish_s"]
HEARTBEAT_S = 1.2
# At most 200 items may be in a job.
PROOF_ITEMS = 100
ASSIST_ITEMS = 10


def case(deployment, record, is_troubled):
    assist = harness.batch_route()
    proof = harness.batch_route("proofs", "/proofs/", service="proof")
    deployment.configure(1, [assist, proof])
    servers = [harness.Server(f"{deployment.base}.{100 + index}", f"assist-{index}",
                              deployment.store, record) for index in range(6)]
    lost = harness.Server(f"{deployment.base}.110", "proof-0", deployment.store, record, "proof")
    for server in servers + [lost]:
        # A run takes 0.6 s.
        server.events, server.gap_s = 12, 0.05
        server.register()
    for entry in (ENTRY, "front-2"):
        deployment.start(entry)
    deployment.wait_until_ready()
    time.sleep(5)

    states = {}

    def submit(job, prefix, count, tokens):
        items = [(f"{job}-item{index}", f"{prefix}run/{job}/{index}", {"X-Model": "m"}, b"text")
                 for index in range(count)]
        answer = harness.call(deployment.callers(ENTRY), "POST", prefix + job,
                              [("X-Attempt-Id", job)], harness.job_body(items, tokens))
        record(f"client: submits {job} with {count} items of {tokens} tokens under {prefix}, "
               f"answer {answer.status}")
        if answer.status != 202:
            raise harness.CannotRun("a job was not accepted")
        states[job] = {}

    def read(job):
        answer = deployment.results("front-2", job)
        for result in answer.json()["results"] if answer.status == 200 else []:
            states[job][result["id"]] = result["state"]
        return len(states[job])

    def wait_for(job, count, seconds):
        deadline = time.monotonic() + seconds
        while read(job) < count and time.monotonic() < deadline:
            time.sleep(0.3)
        record(f"client: {len(states[job])} of {count} items of {job} are listed")
        return len(states[job]) >= count

    submit("ordinary", "/lots/", ASSIST_ITEMS, 350)
    if not wait_for("ordinary", ASSIST_ITEMS, 10):
        raise harness.CannotRun("an ordinary job is not done")

    if is_troubled:
        lost.crash()
        record("proof-0: has crashed and is lost for good")
        time.sleep(3 * HEARTBEAT_S)
        deployment.store.remove("servers", lost.name)
        record("store: the entry of proof-0 has expired")
    time.sleep(1)
    submit("proofs", "/proofs/", PROOF_ITEMS, 350)
    time.sleep(1)
    # token_count is the prompt and the maximum output; the runs are as short as the others.
    submit("large", "/lots/", ASSIST_ITEMS, 12000)
    record("clients: send nothing more; batch jobs have finish_s more")
    time.sleep(FINISH_S)
    ended_at = time.monotonic()
    is_done = wait_for("large", ASSIST_ITEMS, 1.0)
    runs = [at for server in servers for at, request in server.runs if request.startswith("large")]
    recent = [at for server in servers for at, _ in server.runs if at > ended_at - 5]
    record(f"servers: {len(runs)} items of large have reached a server of assist; its 6 servers "
           f"ran {len(recent)} requests in the last 5 s")
    return not is_done and not recent


harness.main(FOLDER, case)

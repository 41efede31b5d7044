"""A faulty server spoils the id of one event; later events are left out of the answer."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

import harness  # noqa: E402

JOBS = 18
ITEMS = 10
CALLS = 180
EVENTS = 10
# The faulty server spoils one of its answers to items and one of those to calls, which are about 60
# each.
SPOILT_ANSWER = 20


class SpoilingServer(harness.Server):
    """Spoils the id of the first event in two of its answers: it is 7 instead of 1."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.events = EVENTS
        self.is_faulty = False
        self.spoilt = {}
        self.sent = {}
        self._choice = threading.Lock()

    def event(self, request, number):
        kind = request[:3]
        with self._choice:
            count = sum(1 for _, run in self.runs if run.startswith(kind))
            if self.is_faulty and number == 1 and kind not in self.spoilt \
                    and count >= SPOILT_ANSWER:
                self.spoilt[kind] = request
                self.record(f"{self.name}: spoils the id of event 1 of its answer to {request}")
        is_spoilt = self.spoilt.get(kind) == request and number == 1
        event = f"id: {7 if is_spoilt else number}\ndata: {request}-{number}\n\n".encode()
        self.sent.setdefault(request, []).append(event)
        return event


def case(deployment, record, is_troubled):
    deployment.configure(1, [
        harness.batch_route(),
        harness.route("ask", "/ask/", "streaming", max_attempts=2, resumable=True)])
    servers = [SpoilingServer(f"{deployment.base}.{100 + index}", f"server-{index}",
                              deployment.store, record) for index in range(3)]
    servers[0].is_faulty = is_troubled
    for server in servers:
        server.register()
    entries = ("front-1", "front-2")
    for entry in entries:
        deployment.start(entry)
    deployment.wait_until_ready()
    time.sleep(5)

    jobs = [f"job{number:02d}" for number in range(JOBS)]
    for number, job in enumerate(jobs):
        items = [(f"{job}-item{index}", f"/lots/run/{job}/{index}", {"X-Model": "m"}, b"text")
                 for index in range(ITEMS)]
        answer = harness.call(deployment.callers(entries[number % 2]), "POST", f"/lots/{job}",
                              [("X-Attempt-Id", job)], harness.job_body(items))
        record(f"client: submits {job}, answer {answer.status}")
        if answer.status != 202:
            raise harness.CannotRun("a job was not accepted")
    deadline = time.monotonic() + 30
    texts = {}
    while time.monotonic() < deadline and len(texts) < JOBS * ITEMS:
        for job in jobs:
            answer = deployment.results("front-1", job)
            for result in answer.json()["results"] if answer.status == 200 else []:
                texts[result["id"]] = (result["state"], result["output"])
        time.sleep(0.3)
    record(f"client: {len(texts)} of {JOBS * ITEMS} items are listed")
    broken = False
    for item, (state, output) in sorted(texts.items()):
        whole = [f"{item}-{number}" for number in range(1, EVENTS + 1)]
        if state == "completed" and output.split("\n") != whole:
            record(f"client: {item} is listed as completed with the text {output!r}")
            broken = True

    def ask(number):
        nonlocal broken
        request = f"ask{number:03d}"
        answer = harness.call(deployment.callers(entries[number % 2]), "POST", f"/ask/{number}",
                              [("X-Attempt-Id", request), ("X-Model", "m"),
                               ("X-Token-Usage", "250,100"), ("X-Deadline-Ms", "5000")], b"text")
        seal = (answer.headers.get("X-Response-Seal") or "").split(".")
        sent = [b"".join(server.sent.get(request, [])) for server in servers
                if server.name in seal]
        if answer.status != 200 or not answer.is_whole:
            record(f"client: {request}, answer {answer.status}, "
                   f"{'whole' if answer.is_whole else 'cut off'}")
        elif [answer.body] != sent:
            record(f"client: {request}, answer 200, ended as complete, but its body is not the "
                   f"server's: got {answer.body!r}")
            broken = True

    for begin in range(0, CALLS, 8):
        threads = [threading.Thread(target=ask, args=(number,))
                   for number in range(begin, min(begin + 8, CALLS))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    record(f"client: {CALLS} calls were made")
    for server in servers:
        record(f"{server.name}: ran {len(server.runs)} requests")
    return broken


harness.main(FOLDER, case)

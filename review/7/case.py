"""A write of a job that takes effect late gives it to a process that has restarted meanwhile."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import (ModelServer, TROUBLE, batch_route, item, new_id, read_lot, run_case, submit)

LATE_S = 1.5  # platform_lost, how late: done 1 to 6 s later
LOST_FOR_S = 4.5
LOST_SHARE = 0.35
KILL_AFTER_S = 0.2
RETRY_AFTER_S = 2.0  # within the 4 s of the client
FINISH_S = 18


def case(fleet):
    record = fleet.record
    servers = [ModelServer(record, fleet.store, fleet.ip(), f"i-{n}", "flight-lm")
               for n in range(2)]
    fleet.configure(1, [batch_route("flight-lm")], "flight-lm")
    fleet.start()
    time.sleep(5)
    first, second, third = fleet.entries
    id, items = new_id(), [item() for _ in range(10)]
    window = {"from": None, "writes": 0, "late": 0}

    def on_write(method, kind, name, content, connection):
        if window["from"] is None or time.monotonic() - window["from"] > LOST_FOR_S:
            return None
        window["writes"] += 1
        if not (TROUBLE and name == id and method == "POST"
                and time.monotonic() - window["from"] < KILL_AFTER_S + 0.2):
            return None
        window["late"] += 1
        record.add("late write", kind, name)
        return "late"

    fleet.store.on_write = on_write
    fleet.store.late_s = LATE_S
    others = {}

    def background():
        for number in range(12):
            other = [item() for _ in range(2)]
            name = new_id()
            if submit(fleet, (second, third)[number % 2], name, other) == 202:
                others[name] = [each["id"] for each in other]
            time.sleep(0.3)

    window["from"] = begun = time.monotonic()
    threading.Thread(target=background, daemon=True).start()
    statuses = []
    attempt = threading.Thread(target=lambda: statuses.append(submit(fleet, first, id, items)))
    attempt.start()
    time.sleep(KILL_AFTER_S)
    if TROUBLE:
        first.kill()
    attempt.join()
    if statuses[0] != 202:
        time.sleep(max(0, begun + RETRY_AFTER_S - time.monotonic()))
        statuses.append(submit(fleet, second, id, items))
    time.sleep(max(0, begun + LOST_FOR_S - time.monotonic()))
    record.add("writes in the disruption", window["writes"], "late", window["late"])
    if window["late"] > LOST_SHARE * window["writes"]:
        record.add("note", "more than the share of late writes")
    record.add("statuses", *statuses)
    time.sleep(25 + FINISH_S)
    listed = {}
    for name, wanted in {id: [each["id"] for each in items], **others}.items():
        status, total, results = read_lot(fleet, second, name)
        listed[name] = len({each["id"] for each in results} & set(wanted))
        record.add("job", name, "status", status, "listed", listed[name], "of", len(wanted))
    ran = {run[0] for server in servers for run in server.runs}
    unlisted = len(items) - listed[id]
    record.add("items run", len(ran & {each["id"] for each in items}), "of", len(items))
    if statuses[-1] == 202 and unlisted:
        return f"LOST: {unlisted} items of a job with a 202 are not listed {FINISH_S + 25} s later"
    return ""


run_case(os.path.dirname(os.path.abspath(__file__)), case, entries=3, memory_mb=110)

"""An item with a long header ends each process that sends it, after each restart again."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import (LIMITS, ModelServer, TROUBLE, batch_route, item, new_id, read_lot, run_case,
                     submit)

PARTS = 5_500  # of 13 tokens each, which an engine with 72,000 tokens holds
MAX_HEADER_BYTES = 131_072  # the operator's limit, above the header of the item
FINISH_S = 18
FAULT_ENDS = 3
FAULT_MACHINES = 2


def case(fleet):
    record = fleet.record
    for number in range(2):
        ModelServer(record, fleet.store, fleet.ip(), f"i-{number}", "flight-lm", gap_s=0.2)
    fleet.configure(1, [batch_route("flight-lm")], "flight-lm",
                    {"limits": {**LIMITS, "max_header_bytes": MAX_HEADER_BYTES}})
    fleet.start()
    time.sleep(5)
    ordinary = {}
    for _ in range(2):
        for entry in fleet.entries:
            items = [item() for _ in range(10)]
            id = new_id()
            if submit(fleet, entry, id, items) == 202:
                ordinary[id] = [each["id"] for each in items]
    for entry in fleet.entries:
        items = [item() for _ in range(10)]
        if TROUBLE:
            parts = ",".join("%08x:13" % (0x10000000 + part) for part in range(PARTS))
            items[0]["headers"] = {"X-Model": "m", "X-Token-Usage": f"{PARTS * 13},40",
                                   "X-Prompt-Prefix": parts}
            items[0]["token_count"] = PARTS * 13 + 40
        submit(fleet, entry, new_id(), items)
    unanswered = 0
    for _ in range(40):
        items = [item() for _ in range(3)]
        id = new_id()
        status = submit(fleet, random.choice(fleet.entries), id, items, timeout=1)
        if status == 202:
            ordinary[id] = [each["id"] for each in items]
        unanswered += status == 0
        time.sleep(0.5)
    time.sleep(FINISH_S)
    record.add("ordinary jobs", "sent", 46, "accepted", len(ordinary), "unanswered", unanswered)
    missing = 0
    for id, items in ordinary.items():
        results = []
        for entry in fleet.entries * 3:
            status, _, results = read_lot(fleet, entry, id, timeout=0.5)
            if status == 200:
                break
            time.sleep(0.1)
        missing += len(set(items) - {each["id"] for each in results})
    record.add("items of ordinary jobs that are not listed", missing)
    for entry in fleet.entries:
        record.add("ends by itself", entry.name, entry.own_ends)
    ended = [entry.name for entry in fleet.entries if entry.own_ends >= FAULT_ENDS]
    if len(ended) >= FAULT_MACHINES:
        return (f"Fault: {len(ended)} machines' processes ended by themselves {FAULT_ENDS} times "
                f"or more; of 40 ordinary jobs sent then {unanswered} got no answer, and {missing} "
                f"items of accepted ones are not listed")
    return ""


run_case(os.path.dirname(os.path.abspath(__file__)), case, entries=3, memory_mb=260)

"""Line breaks in the header of an item end the item's request and begin another one."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import (HOST, ModelServer, TROUBLE, batch_route, header, item, new_id, read_lot,
                     run_case, submit)

TENANTS = [{"name": "own", "api_keys": ["key-of-own"], "rate_per_s": 0, "burst": 0},
           {"name": "other", "api_keys": ["key-of-other"], "rate_per_s": 0, "burst": 0}]


def case(fleet):
    record = fleet.record
    servers = [ModelServer(record, fleet.store, fleet.ip(), f"i-{n}", "points-assistant")
               for n in range(2)]
    fleet.configure(1, [batch_route("points-assistant", public=False)], "points-assistant",
                    {"tenants": TENANTS})
    fleet.start()
    time.sleep(5)
    key = {"Authorization": "Bearer key-of-own"}
    sent, jobs = set(), []
    for entry in fleet.entries:
        items = [item() for _ in range(4)]
        for each in items:
            sent.add(each["id"])
        if TROUBLE:
            items[0]["headers"]["X-Note"] = (
                f"a\r\nX-Attempt-Id: {items[0]['id']}\r\nX-Tenant: own\r\nContent-Length: 0\r\n\r\n"
                f"POST /lots1/3/other HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {new_id()}\r\n"
                f"X-Tenant: other\r\nX-Note: b")
        id = new_id()
        status = submit(fleet, entry, id, items, headers=key)
        jobs.append((id, status, [each["id"] for each in items]))
    time.sleep(12)
    for id, status, items in jobs:
        if status == 202:
            got, total, results = read_lot(fleet, fleet.entries[0], id, headers=key)
            record.add("job", id, "status", got, "listed", len(results), "of", total)
    unasked, foreign = set(), set()
    for server in servers:
        for id, headers in server.runs:
            if id not in sent:
                unasked.add(id)
            if header(headers, "X-Tenant") != "own":
                foreign.add(id)
            record.add("ran", server.name, id, "tenant", header(headers, "X-Tenant"))
    if unasked or foreign:
        return (f"UNASKED: servers ran {len(unasked)} requests whose id no client sent, and "
                f"{len(foreign)} for a tenant that does not hold the client's key")
    return ""


run_case(os.path.dirname(os.path.abspath(__file__)), case, entries=3, memory_mb=512,
         bounds={"fail_closed": True, "revoke_ms": 5000, "quota_window_s": 5, "quota_slack": 20})

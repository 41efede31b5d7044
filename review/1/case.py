"""A batch job whose results pile up during an outage of the store."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin"))
from deployment import BOUNDS, TROUBLE, Deployment, batch_job, main, read_all, submit, whole_output

ITEMS = 200
EVENTS = 145
OUTAGE_BEGINS_S = 5.0
OUTAGE_S = 4.5


def make():
    deployment = Deployment(fronts=3, servers=5, events=EVENTS, interval=0.012)
    for index, server in enumerate(deployment.servers):
        server.interval += 0.0003 * index
    return deployment


async def case(deployment):
    record, store = deployment.record, deployment.store
    owner, other = deployment.fronts[0], deployment.fronts[1]
    if await submit(deployment, owner, "lot1", batch_job("lot1", ITEMS)) != 202:
        raise RuntimeError("the batch job was not accepted")
    await asyncio.sleep(OUTAGE_BEGINS_S)
    if TROUBLE:
        record.note("the store is down")
        store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        store.is_down = False
        record.note("the store is back")
    # All servers have been idle for a long time when finish_s is over.
    idle_since = record.now()
    while record.now() - idle_since < BOUNDS["finish_s"]:
        await asyncio.sleep(0.2)
        if any(server.running or server.waiting for server in deployment.servers):
            idle_since = record.now()
    total, results = await read_all(other, "lot1")
    missing = ITEMS - len(results)
    record.note(f"{len(results)} of {total} items are listed {BOUNDS['finish_s']} s after the last "
                f"server was at work; the store refused {store.too_large} writes as too large")
    print(f"{missing} of {ITEMS} items are not listed")
    wrong = [r["id"] for r in results if r["output"] != whole_output(r["id"], EVENTS)]
    if wrong:
        record.note(f"wrong output: {wrong}")
    return missing > 0


main(make, case)

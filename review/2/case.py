"""Servers crash while they run a sound item; afterwards all is calm."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin"))
from deployment import (BOUNDS, TROUBLE, Deployment, call, json, main, read_all, submit,
                        whole_output)

SERVERS = 18
EVENTS = 145
INTERVAL_S = 0.012
SOUND_CLIENTS = 8
# A burst of crashes: at most this many, each server down for this long, as in the users' day
# `unlucky`. No more than 2 of 18 servers are down at the same time.
CRASHES = 5
SERVER_DOWN_S = 0.4
BURST_S = 6.0
# Items of a second job with the same shared part, handed in after the burst.
LATER_ITEMS = 10
TRAFFIC_S = 12.0
# An item that failed at a server in the last 20 s doesn't count.
CALM_S = 20.0


def make():
    return Deployment(fronts=3, servers=SERVERS, events=EVENTS, interval=INTERVAL_S)


def job_body(job, count):
    """Items whose prompts share their first part, as on the sheet: 100 shared + 250 tokens."""
    return json.dumps({"items": [{
        "id": f"{job}-{index:03d}", "path": f"/lot/{index}", "body": "YWJj" * 100,
        "token_count": 495, "headers": {
            "X-Model": "m", "X-Token-Usage": "350,145",
            "X-Prompt-Prefix": f"5d07b8:100,{job.encode().hex()}{index:02x}:250"},
    } for index in range(count)]}).encode()


async def online_client(deployment, number, counts):
    """Sends sound requests one after another, at all machines."""
    count = 0
    while True:
        count += 1
        attempt = f"s{number}-{count:04d}"
        front = deployment.fronts[(number + count) % len(deployment.fronts)]
        status, _, _ = await call(front.callers, "POST", f"/once/{number}", {
            "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000", "X-Model": "m",
            "X-Token-Usage": "450,21",
            "X-Prompt-Prefix": f"9c2e4{number % 4}:100,7a11{number}:100,{attempt.encode().hex()}:250",
        }, b"hello")
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.05 if status == 200 else 0.3)


async def case(deployment):
    record, counts, crashes = deployment.record, {}, []
    burst_ends = None
    for server in deployment.servers:
        server.events_of = lambda headers: int(headers["x-token-usage"].split(",")[1])

        async def run(headers, writer, server=server):
            """A server of the burst crashes before it has sent anything for the item."""
            if not headers["x-attempt-id"].startswith("lot1-"):
                return False
            record.note(f"{headers['x-attempt-id']} reaches {server.id}")
            if not TROUBLE or len(crashes) >= CRASHES or record.now() > burst_ends:
                return False
            crashes.append(record.now())
            await asyncio.sleep(0.02)
            asyncio.create_task(server.crash(SERVER_DOWN_S))
            return True
        server.trouble = run
    clients = [asyncio.create_task(online_client(deployment, n, counts))
               for n in range(SOUND_CLIENTS)]
    await asyncio.sleep(4.0)
    burst_ends = record.now() + BURST_S
    if await submit(deployment, deployment.fronts[0], "lot1", job_body("lot1", 1)) != 202:
        raise RuntimeError("the first batch job was not accepted")
    begun = record.now()
    await asyncio.sleep(BURST_S)
    record.note(f"the burst is over: {len(crashes)} crashes, the last "
                f"{record.now() - max(crashes, default=begun):.1f} s ago")
    if await submit(deployment, deployment.fronts[1], "lot2",
                    job_body("lot2", LATER_ITEMS)) != 202:
        raise RuntimeError("the second batch job was not accepted")
    await asyncio.sleep(TRAFFIC_S - BURST_S)
    record.note("the traffic ends")
    for client in clients:
        client.cancel()
    await asyncio.sleep(max(BOUNDS["finish_s"], CALM_S + 1.0))
    missing = 0
    for job, count in (("lot1", 1), ("lot2", LATER_ITEMS)):
        total, results = await read_all(deployment.fronts[1], job)
        done = [r for r in results if r["output"] == whole_output(r["id"], EVENTS)]
        missing += count - len(results)
        record.note(f"{job}: {len(results)} of {total} items are listed, {len(done)} of them "
                    f"complete, {record.now() - begun:.1f} s after the first submission")
    record.note(f"online answers by status: {counts}")
    print(f"{missing} of {1 + LATER_ITEMS} items not listed; {len(crashes)} crashes")
    return missing > 0


main(make, case)

"""A faulty server writes its previous answer once more, late and without its X-Attempt-Id."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin"))
from deployment import TROUBLE, Deployment, call, event_data, head_bytes, main

CLIENTS = 8
EVENTS = 21
RUN_S = 20.0
# Shares of `garble` in the site file: of the servers, and of their answers.
SERVERS_SHARE = 0.35
ANSWERS_SHARE = 0.02


def make():
    return Deployment(fronts=2, servers=6, events=EVENTS, interval=0.01)


def event_bytes(attempt, number):
    event = f"id: {number}\ndata: {event_data(attempt, number)}\n\n".encode()
    return f"{len(event):x}\r\n".encode() + event + b"\r\n"


def spoil(deployment, extras):
    """Makes a share of the servers write an answer again, at the point where the next one is
    due on the connection."""
    faulty = deployment.servers[:round(SERVERS_SHARE * len(deployment.servers))]
    for server in faulty:
        answered = {}

        async def write_extra(headers, writer, server=server, answered=answered):
            earlier = answered.get(writer)
            answered[writer] = headers["x-attempt-id"]
            if earlier and random.random() < ANSWERS_SHARE:
                extras.append(earlier)
                deployment.record.note(f"{server.id} writes the answer to {earlier} again, in front "
                                       f"of the answer to {headers['x-attempt-id']}")
                writer.write(head_bytes("HTTP/1.1 200 OK", {
                    "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                    "X-Response-Seal": f"seal.{server.id}.{earlier}"}))
                for number in range(1, EVENTS + 1):
                    writer.write(event_bytes(earlier, number))
                writer.write(b"0\r\n\r\n")
            return False
        server.trouble = write_extra


async def client(deployment, number, until, foreign, counts):
    count = 0
    while deployment.record.now() < until:
        count += 1
        attempt = f"c{number:02d}-{count:04d}"
        front = deployment.fronts[(number + count) % len(deployment.fronts)]
        status, headers, body = await call(front.callers, "POST", f"/once/{number}", {
            "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000", "X-Model": "m"}, b"hello")
        counts[status] = counts.get(status, 0) + 1
        own = "".join(f"id: {n}\ndata: {event_data(attempt, n)}\n\n"
                      for n in range(1, EVENTS + 1)).encode()
        if status == 200 and body != own:
            foreign.append(attempt)
            deployment.record.note(f"{attempt} got 200 with the seal "
                                   f"{headers.get('x-response-seal')} and {body[:40]!r}")


async def case(deployment):
    extras, foreign, counts = [], [], {}
    if TROUBLE:
        spoil(deployment, extras)
    until = deployment.record.now() + RUN_S
    await asyncio.gather(*(client(deployment, n, until, foreign, counts) for n in range(CLIENTS)))
    deployment.record.note(f"{len(extras)} answers written again; {len(foreign)} clients got the "
                           f"answer to another request; answers by status: {counts}")
    print(f"{len(extras)} answers written again, {len(foreign)} given to another request")
    return bool(foreign)


main(make, case)

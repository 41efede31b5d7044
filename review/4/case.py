"""A process gets SIGTERM; requests that it takes 3.0 to 3.5 s later are cut."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin"))
from deployment import HOST, TROUBLE, Deployment, head_bytes, main, read_chunk, read_head

CLIENTS = 10
# A sound stream with pauses below the 200 ms that the sheet allows; it takes 4.4 s of 5 s.
LONG_EVENTS = 23
INTERVAL_S = 0.19
# The rule excuses requests that were sent no later than 3 s after the SIGTERM.
FIRST_SENT_S = 3.05
LAST_SENT_S = 3.40


def make():
    deployment = Deployment(fronts=2, servers=4, interval=INTERVAL_S)
    for server in deployment.servers:
        server.events_of = lambda headers: int(headers["x-token-usage"].split(",")[1])
    return deployment


async def ask(reader, writer, attempt, events, record):
    """Sends one request; returns its status and its number of events, or None if it was cut."""
    writer.write(head_bytes("POST /once/1 HTTP/1.1", {
        "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000", "X-Model": "m",
        "X-Token-Usage": f"350,{events}", "Content-Length": "5"}) + b"hello")
    record.note(f"sent {attempt}")
    head = await read_head(reader)
    if head is None:
        return None, 0
    status, count = int(head[0].split()[1]), 0
    if status == 200:
        try:
            while (await read_chunk(reader)).strip():
                count += 1
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return None, count
    return status, count


async def case(deployment):
    record, front = deployment.record, deployment.fronts[0]
    host, port = front.callers.rsplit(":", 1)
    connections = []
    for number in range(CLIENTS):
        connections.append(await asyncio.open_connection(host, int(port)))
        if (await ask(*connections[-1], f"short-{number}", 1, record))[0] != 200:
            raise RuntimeError("a short request was not served")
    begun = record.now()
    if TROUBLE:
        front.signal(signal.SIGTERM)
    cut = []

    async def client(number, at):
        await asyncio.sleep(begun + at - record.now())
        attempt = f"long-{number}"
        sent = record.now()
        status, count = await ask(*connections[number], attempt, LONG_EVENTS, record)
        took = record.now() - sent
        record.note(f"{attempt}, sent {sent - begun:.2f} s after the SIGTERM: "
                    f"{status or 'closed'} after {count} events and {took:.2f} s")
        # Without any event the process may have closed before it read the request.
        if status is None and count > 0 and took < 5.0:
            cut.append(attempt)

    step = (LAST_SENT_S - FIRST_SENT_S) / (CLIENTS - 1)
    await asyncio.gather(*(client(n, FIRST_SENT_S + n * step) for n in range(CLIENTS)))
    print(f"{len(cut)} of {CLIENTS} requests were cut")
    return bool(cut)


main(make, case)

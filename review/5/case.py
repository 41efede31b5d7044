"""One server sends bytes without end in place of the next chunk of one stream."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin"))
from deployment import (FRONT_MEMORY_MB, HOST, TROUBLE, Deployment, event_data, head_bytes, main,
                        read_chunk, read_head)

CLIENTS = 36
# Longest pause of a client between two requests.
PAUSE_S = 0.5
EVENTS = 21
# Time in which a server reads a prompt before it sends anything.
PROMPT_S = 0.25
RUN_S = 20.0
TROUBLE_AT_S = 8.0
# Half of the rate of a front's link, which is 125 MB/s.
BYTES_PER_S = 60e6
BLOCK = b"no answer " * 6000
LONGEST_S = 10.0
MEMORY_CHECK_S = 0.01
RESTART_S = 0.5
# The rule allows three.
ALLOWED = 3


class Outcome:
    def __init__(self):
        self.served = 0
        self.unanswered = []
        self.cut = []
        self.started = set()
        self.spoilt = set()


def make():
    return Deployment(fronts=2, servers=5, events=EVENTS)


def prepare(deployment, outcome):
    """Makes sound servers wait before they answer, and lets one server spoil one stream."""
    record = deployment.record
    for server in deployment.servers:
        async def read_prompt(headers, writer, server=server):
            outcome.started.add(headers["x-attempt-id"])
            await asyncio.sleep(PROMPT_S)
            return False
        server.trouble = read_prompt

    async def spoil(headers, writer):
        bad.trouble = None
        attempt = headers["x-attempt-id"]
        outcome.spoilt.add(attempt)
        record.note(f"{bad.id} answers {attempt} with bytes without end")
        writer.write(head_bytes("HTTP/1.1 200 OK", {
            "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
            "X-Attempt-Id": attempt, "X-Response-Seal": "seal"}))
        event = f"id: 1\ndata: {event_data(attempt, 1)}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        start, sent = record.now(), 0
        while record.now() - start < LONGEST_S:
            if writer.is_closing():
                break
            if sent < (record.now() - start) * BYTES_PER_S:
                writer.write(BLOCK)
                sent += len(BLOCK)
                await writer.drain()
            else:
                await asyncio.sleep(0.001)
        record.note(f"{bad.id} has sent {sent} bytes in {record.now() - start:.2f} s")
        return True

    bad = deployment.servers[0]
    return bad, spoil


async def client(deployment, outcome, number, until):
    """Sends requests one after another on a kept connection."""
    record = deployment.record
    host, port = deployment.fronts[0].callers.rsplit(":", 1)
    count = 0
    while record.now() < until:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            is_kept = False
            while record.now() < until:
                count += 1
                attempt = f"c{number:02d}-{count:04d}"
                writer.write(head_bytes(f"POST /once/{number} HTTP/1.1", {
                    "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000",
                    "X-Model": "m", "Content-Length": "5"}) + b"hello")
                if not await answer(reader, attempt, is_kept, outcome, record):
                    break
                is_kept = True
                await asyncio.sleep(random.uniform(0, PAUSE_S))
        except OSError:
            pass
        finally:
            if writer:
                writer.close()
        await asyncio.sleep(0.2)


async def answer(reader, attempt, is_kept, outcome, record):
    """Reads one answer; returns whether the connection can be used again."""
    head = None
    try:
        head = await read_head(reader)
        if head is not None:
            if head[0].split()[1] != "200":
                await reader.readexactly(int(head[1].get("content-length", 0)))
                return True
            while await read_chunk(reader):
                pass
            outcome.served += 1
            return "close" not in head[1].get("connection", "")
    except (OSError, ValueError, asyncio.IncompleteReadError):
        pass
    if is_kept and attempt in outcome.started and attempt not in outcome.spoilt:
        (outcome.cut if head else outcome.unanswered).append(attempt)
        record.note(f"closed under {attempt}, which a sound server runs: "
                    + ("incomplete answer" if head else "no answer"))
    return False


async def watch_memory(deployment, peak):
    """Does as the platform: kills a process that uses more than its machine's memory, and starts
    it again."""
    front = deployment.fronts[0]
    while True:
        await asyncio.sleep(MEMORY_CHECK_S)
        memory = front.memory_mb()
        peak[0] = max(peak[0], memory)
        if memory > FRONT_MEMORY_MB:
            deployment.record.note(f"{front.name} uses {memory:.0f} MB; the machine has "
                                   f"{FRONT_MEMORY_MB} MB")
            front.kill()
            await asyncio.sleep(RESTART_S)
            front.start()
            await deployment.until_ready(front)


async def case(deployment):
    record, outcome, peak = deployment.record, Outcome(), [0.0]
    bad, spoil = prepare(deployment, outcome)
    watcher = asyncio.create_task(watch_memory(deployment, peak))
    begun = record.now()
    clients = [asyncio.create_task(client(deployment, outcome, number, begun + RUN_S))
               for number in range(CLIENTS)]
    await asyncio.sleep(TROUBLE_AT_S)
    record.note(f"memory before: {peak[0]:.0f} MB at most")
    if TROUBLE:
        bad.trouble = spoil
    await asyncio.wait(clients, timeout=RUN_S + 10)
    watcher.cancel()
    record.note(f"served {outcome.served}; memory {peak[0]:.0f} MB at most; closed without an "
                f"answer {len(outcome.unanswered)}, with an incomplete one {len(outcome.cut)}")
    print(f"peak {peak[0]:.0f} MB, closed without an answer: {len(outcome.unanswered)}, "
          f"with an incomplete one: {len(outcome.cut)}")
    return len(outcome.unanswered) > ALLOWED


main(make, case)

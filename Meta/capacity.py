"""Measures the cost slopes from which docs/CAPACITY.md extrapolates to the target size."""

import argparse
import json
import pathlib
import tempfile
import time

from deployment import Deployment, http

IDLE_SECONDS = 8


def slope(points):
    """Returns the least-squares slope and intercept of (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return gradient, mean_y - gradient * mean_x


def usage_over(process, seconds):
    before, _ = process.usage()
    time.sleep(seconds)
    after, resident = process.usage()
    return (after - before) / seconds, resident


def report(title, unit, points, scale=1.0, per="1"):
    gradient, base = slope(points)
    values = ", ".join(f"{x}: {y * scale:.3g}" for x, y in points)
    print(f"{title} [{unit}] at {values}; slope {gradient * scale:.3g} per {per}, "
          f"base {base * scale:.3g}")


def agents_watched(args):
    """Idle cost of an entry process and of an agent, by the number of watched agents."""
    cpu, memory, agent_cpu = [], [], []
    for count in (2, 8, 16, 24):
        with Deployment(args.build) as deployment:
            for _ in range(count):
                deployment.add_upstream("zone1", "region1", 4, 20)
            entry = deployment.add_entry("zone1", "region1")
            deployment.put_catalogue("lotka")
            time.sleep(1)
            agent_before = deployment.agents[0].usage()[0]
            used, resident = usage_over(entry, IDLE_SECONDS)
            agent_used = (deployment.agents[0].usage()[0] - agent_before) / IDLE_SECONDS
            cpu.append((count, used))
            memory.append((count, resident))
            agent_cpu.append(agent_used)
    report("entry, idle: processor share by agents watched", "% of a core", cpu, 100, "agent")
    report("entry, idle: memory by agents watched", "MB", memory, 1e-6, "agent")
    print(f"agent, idle, one entry process: {100 * max(agent_cpu):.2f}% of a core at most")


def entries_at_agent(args):
    """Idle cost of an agent and of an entry process, by the number of entry processes."""
    cpu, memory, entry_cpu, store_calls = [], [], [], []
    for count in (2, 6, 12, 24):
        with Deployment(args.build) as deployment:
            deployment.add_upstream("zone1", "region1", 4, 20)
            for _ in range(count):
                deployment.add_entry("zone1", "region1", ("--threads=1",))
            deployment.put_catalogue("lotka")
            time.sleep(6)
            calls = sum(deployment.store_counts().values())
            before = deployment.entries[-1].usage()[0]
            used, resident = usage_over(deployment.agents[0], IDLE_SECONDS)
            entry_used = (deployment.entries[-1].usage()[0] - before) / IDLE_SECONDS
            calls = (sum(deployment.store_counts().values()) - calls) / IDLE_SECONDS
            cpu.append((count, used))
            memory.append((count, resident))
            entry_cpu.append((count, entry_used))
            store_calls.append((count, calls))
    report("agent, idle: processor share by entry processes", "% of a core", cpu, 100, "process")
    report("agent, idle: memory by entry processes", "MB", memory, 1e-6, "process")
    report("entry, idle: processor share by entry processes", "% of a core", entry_cpu, 100,
           "process")
    report("store, idle fleet: calls by entry processes", "calls/s", store_calls, 1, "process")


def control_bytes(args):
    """Bytes of one heartbeat connection and of one peer's exchanges, seen by the fault proxy."""
    with Deployment(args.build) as deployment:
        proxy = deployment.spawn("faultproxy", [deployment.standin(), "faultproxy"])
        control = proxy.addresses["http"]

        def route(name):
            answer = http("PUT", control, f"/routes/{name}", json.dumps({"link": name}))[1]
            return json.loads(answer)["listen"]

        def set_target(name, target):
            http("PUT", control, f"/routes/{name}", json.dumps({"target": target}))

        agent_route, entry_route = route("agent"), route("entry")
        deployment.add_upstream("zone1", "region1", 4, 20,
                                agent=(f"--control-advertise={agent_route}",))
        set_target("agent", deployment.agents[0].addresses["control"])
        first = deployment.add_entry("zone1", "region1", (f"--control-advertise={entry_route}",))
        set_target("entry", first.addresses["control"])
        deployment.add_entry("zone1", "region1")
        deployment.put_catalogue("lotka")
        time.sleep(2)

        def carried():
            links = json.loads(http("GET", control, "/links")[1])
            return {name: link["forwardBytes"] + link["backwardBytes"]
                    for name, link in links.items()}

        before = carried()
        time.sleep(IDLE_SECONDS)
        after = carried()
        print(f"heartbeats of two entry processes at one agent: "
              f"{(after['agent'] - before['agent']) / IDLE_SECONDS:.0f} bytes/s")
        print(f"exchanges of one peer: {(after['entry'] - before['entry']) / IDLE_SECONDS:.0f} "
              "bytes/s")


def owners(args):
    """Cost of an entry process, by the size of the catalogue."""
    memory, spread = [], []
    for count in (100, 400, 800, 1600):
        with Deployment(args.build) as deployment:
            deployment.add_upstream("zone1", "region1", 4, 20)
            entry = deployment.add_entry("zone1", "region1")
            deployment.put_catalogue("lotka")
            digests = [f"{number:064x}" for number in range(count)]
            for number, digest in enumerate(digests):
                for key, value in ((f"owners/o{number}", {"tokenDigest": digest}),
                                   (f"entries/o{number}/assistant", {"pool": "assistant"})):
                    http("PUT", deployment.store, f"/objects/config%2F{key.replace('/', '%2F')}",
                         json.dumps(value), headers={"If-Version": "0"})
            time.sleep(2)
            started_at = time.monotonic()
            deployment.put("entries/lotka/late", {"pool": "assistant"})
            while True:
                status, body = http("GET", entry.addresses["callers"], "/v1/models",
                                    token="bench-owner-token")
                if "late" in body:
                    break
                time.sleep(0.002)
            spread.append((count, time.monotonic() - started_at))
            memory.append((count, entry.usage()[1]))
    report("entry: memory by owners, each with one entry", "MB", memory, 1e-6, "owner")
    report("entry: time from a change to its being in force", "ms", spread, 1e3, "owner")


def idle_streams(args):
    """Memory of an idle open stream, which carries only heartbeats."""
    entry_memory, agent_memory, entry_cpu = [], [], []
    with tempfile.TemporaryDirectory() as directory:
        # One process cannot open enough connections for 10,000 streams.
        for total, processes in ((500, 1), (2000, 1), (4000, 1), (10_000, 2)):
            count = total // processes
            with Deployment(args.build) as deployment:
                for _ in range(processes):
                    deployment.add_upstream("zone1", "region1", count + 200, 8_000,
                                            engine=("--prefill=0",))
                    deployment.add_entry("zone1", "region1")
                entry = deployment.entries[0]
                deployment.put_catalogue("lotka")
                trace = pathlib.Path(directory, "streams.jsonl")
                with open(trace, "w", encoding="utf-8") as file:
                    for number in range(total):
                        file.write(json.dumps({"offsetMs": number * 0.4, "owner": "lotka",
                                               "entry": "assistant", "prompt": f"p{number}",
                                               "tokens": 9}) + "\n")
                base = entry.usage()[1], deployment.agents[0].usage()[1]
                running = deployment.start_replay(trace)
                deadline = time.monotonic() + 40
                while sum(each["running"] for each in deployment.engine_stats()) < total:
                    if time.monotonic() > deadline:
                        raise RuntimeError("the streams did not open")
                    time.sleep(0.1)
                used, resident = usage_over(entry, 3)
                entry_cpu.append((count, used))
                entry_memory.append((count, resident - base[0]))
                agent_memory.append((count, deployment.agents[0].usage()[1] - base[1]))
                running.kill()
                running.wait()
    report("entry: memory by idle streams", "MB", entry_memory, 1e-6, "stream")
    report("agent: memory by idle streams", "MB", agent_memory, 1e-6, "stream")
    report("entry: processor share by idle streams", "% of a core", entry_cpu, 100, "stream")


def large_job(args):
    """Writes to the store and memory at an entry process, by the size of one job."""
    memory = []
    for items in (12_000, 60_000, 120_000):
        with Deployment(args.build) as deployment:
            for _ in range(4):
                deployment.add_upstream("zone1", "region1", 32, 5, engine=("--prefill=0",))
            entry = deployment.add_entry("zone1", "region1")
            deployment.put_catalogue("lotka")
            writes = deployment.store_counts()["writes"]
            started_at = time.monotonic()
            deployment.submit("league", items, 1)
            submitted = time.monotonic()
            peak = 0
            while deployment.job_status("league").get("state") != "completed":
                peak = max(peak, entry.usage()[1])
                time.sleep(0.5)
            seconds = time.monotonic() - submitted
            writes = deployment.store_counts()["writes"] - writes
            memory.append((items, peak))
            print(f"{items} items: submitted in {submitted - started_at:.1f} s, done in "
                  f"{seconds:.0f} s; {1000 * writes / items:.2f} writes for 1,000 items")
    report("entry: memory at most by items of one job", "MB", memory, 1e-6, "item")


def time_in_force(args):
    """Time until a change is in force at six entry processes in two regions, one of which is
    reached over the link, for changes made in either region."""
    changes = 20
    with Deployment(args.build) as deployment:
        deployment.add_upstream("zone1", "region1", 4, 20)
        store_route = deployment.route("store", "regions")
        deployment.route("store", "regions", deployment.store)
        for number in range(6):
            if number < 3:
                deployment.add_entry("zone1", "region1", ("--threads=1",))
                continue
            name = f"entry{number}-control"
            route = deployment.route(name, "regions")
            entry = deployment.add_entry("zone3", "region2",
                                         ("--threads=1", f"--store={store_route}",
                                          f"--control-advertise={route}"))
            deployment.route(name, "regions", entry.addresses["control"])
        deployment.link("regions", delayMs=8, bytesPerSecond=30_000_000 // 8)
        deployment.put_catalogue("lotka")
        time.sleep(3)
        for label, origin in (("the store's region", 0), ("the other region", 5)):
            times = []
            for number in range(changes):
                name = f"late{origin}-{number}"
                started_at = time.monotonic()
                deployment.put(f"entries/lotka/{name}", {"pool": "assistant"}, entry=origin)
                waiting = list(deployment.entries)
                while waiting:
                    waiting = [entry for entry in waiting if name not in http(
                        "GET", entry.addresses["callers"], "/v1/models",
                        token="bench-owner-token")[1]]
                times.append(time.monotonic() - started_at)
                time.sleep(0.2)
            times.sort()
            print(f"made in {label}: {changes} changes in force everywhere after "
                  f"{times[len(times) // 2]:.2f} s at the median, {times[-1]:.2f} s at most")


def proxy_cost(args):
    """Added latency, and processor time per request and per token."""
    with tempfile.TemporaryDirectory() as directory:
        trace = pathlib.Path(directory, "cost.jsonl")
        by_tokens = []
        for tokens in (1, 20, 60):
            with Deployment(args.build) as deployment:
                for _ in range(4):
                    deployment.add_upstream("zone1", "region1", 64, 2, engine=("--prefill=0",))
                entry = deployment.add_entry("zone1", "region1")
                deployment.put_catalogue("lotka")
                rate, seconds = 300, 8
                with open(trace, "w", encoding="utf-8") as file:
                    for number in range(rate * seconds):
                        file.write(json.dumps({"offsetMs": number * 1000 / rate, "owner": "lotka",
                                               "entry": "assistant", "prompt": f"p{number}",
                                               "tokens": tokens}) + "\n")
                engines = ",".join(each.addresses["http"] for each in deployment.engines)
                direct = deployment.replay(trace, callers=engines, direct=True)
                before = entry.usage()[0], sum(agent.usage()[0] for agent in deployment.agents)
                through = deployment.replay(trace)
                calls = through["answered"]
                entry_cost = (entry.usage()[0] - before[0]) / calls
                agent_cost = (sum(agent.usage()[0] for agent in deployment.agents)
                              - before[1]) / calls
                by_tokens.append((tokens, entry_cost, agent_cost))
                print(f"{tokens} tokens, {rate} calls/s: first token p50 direct "
                      f"{direct['firstTokenMs']['p50']:.2f} ms, through "
                      f"{through['firstTokenMs']['p50']:.2f} ms; p99 "
                      f"{direct['firstTokenMs']['p99']:.2f} and "
                      f"{through['firstTokenMs']['p99']:.2f} ms")
    report("entry: processor time of a call by its tokens", "us",
           [(tokens, entry) for tokens, entry, _ in by_tokens], 1e6, "token")
    report("agent: processor time of a call by its tokens", "us",
           [(tokens, agent) for tokens, _, agent in by_tokens], 1e6, "token")


def main():
    parts = {"agents": agents_watched, "entries": entries_at_agent, "bytes": control_bytes,
             "owners": owners, "streams": idle_streams, "force": time_in_force,
             "job": large_job, "cost": proxy_cost}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="Build")
    parser.add_argument("--parts", default=",".join(parts),
                        help="comma-separated parts to run, of: " + ", ".join(parts))
    args = parser.parse_args()
    for name in args.parts.split(","):
        print(f"== {name}: {parts[name].__doc__}", flush=True)
        parts[name](args)


if __name__ == "__main__":
    main()

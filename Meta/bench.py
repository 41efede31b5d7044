"""Benchmarks radishplank on the loopback interface; docs/MEASUREMENTS.md explains the figures."""

import argparse
import itertools
import json
import pathlib
import random
import subprocess
import tempfile
import time

from deployment import Deployment

ZONES = (("zone1", "region1"), ("zone2", "region1"), ("zone3", "region2"))
UPSTREAMS_PER_ZONE = 6
SLOTS = 4
TOKEN_INTERVAL_MS = 20
BATCH_TOKENS = 40
REGION_LINK = "regions"
REGION_LINK_BYTES_PER_SECOND = 30_000_000 // 8
REGION_LINK_DELAY_MS = 8


def start(deployment, agent=(), entry=(), engine=()):
    for zone, region in ZONES:
        for _ in range(UPSTREAMS_PER_ZONE):
            deployment.add_upstream(zone, region, SLOTS, TOKEN_INTERVAL_MS, engine, agent)
    for zone, region in ZONES:
        deployment.add_entry(zone, region, entry)
    deployment.put_catalogue("lotka")


def start_with_link(deployment):
    """Starts all entry processes in the first region; agents of the second are behind the link."""
    for zone, region in ZONES:
        link = None if region == "region1" else REGION_LINK
        for _ in range(UPSTREAMS_PER_ZONE):
            deployment.add_upstream(zone, region, SLOTS, TOKEN_INTERVAL_MS, link=link)
    deployment.link(REGION_LINK, delayMs=REGION_LINK_DELAY_MS,
                    bytesPerSecond=REGION_LINK_BYTES_PER_SECOND)
    for zone in ("zone1", "zone2", "zone1"):
        deployment.add_entry(zone, "region1")
    deployment.put_catalogue("lotka")


def totals(deployment):
    stats = deployment.engine_stats()
    return {name: sum(each[name] for each in stats)
            for name in ("busyMicroseconds", "uptimeMicroseconds", "tokens", "cachedWords",
                         "promptWords", "executions")}


class Window:
    """Measures the activity of a deployment between two points in time."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.begin = self.snapshot()

    def snapshot(self):
        counts = self.deployment.store_counts()
        return {
            "at": time.monotonic(),
            "engines": totals(self.deployment),
            "store": sum(counts.values()),
            "items": self.deployment.metric("radishplank_items_completed_total"),
            "preempted": self.deployment.metric("radishplank_items_preempted_total"),
            "far": self.deployment.metric("radishplank_bytes_other_region_total"),
        }

    def close(self):
        end = self.snapshot()
        seconds = end["at"] - self.begin["at"]
        busy = end["engines"]["busyMicroseconds"] - self.begin["engines"]["busyMicroseconds"]
        words = end["engines"]["promptWords"] - self.begin["engines"]["promptWords"]
        cached = end["engines"]["cachedWords"] - self.begin["engines"]["cachedWords"]
        slots = len(self.deployment.engines) * SLOTS
        return {
            "seconds": round(seconds, 1),
            "busyShare": busy / 1e6 / (seconds * slots),
            "itemsPerSecond": (end["items"] - self.begin["items"]) / seconds,
            "preempted": end["preempted"] - self.begin["preempted"],
            "storeCallsPerSecond": (end["store"] - self.begin["store"]) / seconds,
            "otherRegionBytes": end["far"] - self.begin["far"],
            "cacheShare": cached / words if words else 0,
        }


def online_run(build, trace, with_batch, agent=(), entry=(), csv=None):
    with Deployment(build) as deployment:
        start(deployment, agent, entry)
        if with_batch:
            deployment.submit("league", 40_000, BATCH_TOKENS)
            time.sleep(4)
        window = Window(deployment)
        report = deployment.replay(trace, csv=csv)
        figures = window.close()
    return {**figures, "online": report}


def print_table(title, rows):
    print(f"\n{title}")
    print(f"{'run':34} {'first p50':>10} {'first p99':>10} {'whole p99':>10} {'busy':>6} "
          f"{'items/s':>8} {'store/s':>8} {'far kB':>7} {'cache':>6} {'ok':>6} {'bad':>4}")
    for name, row in rows:
        online = row["online"]
        first = online["firstTokenMs"]
        bad = online["refused"] + online["failed"] + online["cutOff"] + online["wrong"]
        print(f"{name:34} {first.get('p50', 0):10.1f} {first.get('p99', 0):10.1f} "
              f"{online['wholeAnswerMs'].get('p99', 0):10.1f} {row['busyShare']:6.2f} "
              f"{row['itemsPerSecond']:8.1f} {row['storeCallsPerSecond']:8.1f} "
              f"{row['otherRegionBytes'] / 1000:7.0f} {row['cacheShare']:6.2f} "
              f"{online['answered']:6} {bad:4}")


def harm(args, directory):
    """Measures how much batch slows down online calls, and how much idle slot time it fills."""
    for owner in args.deployments:
        trace = pathlib.Path(directory, owner + ".jsonl")
        with Deployment(args.build) as tool:
            tool.generate(trace, deployment=owner, duration=args.seconds * 1000, rate=args.rate,
                          seed=args.seed)
        csv = (lambda name: str(pathlib.Path(args.csv, f"{owner}-{name}.csv")) if args.csv else None)
        rows = [
            ("online only", online_run(args.build, trace, False, csv=csv("online"))),
            ("online + batch, arrival order", online_run(
                args.build, trace, True, ("--scheduling=arrival-order", "--online-queue=64"),
                csv=csv("arrival-order"))),
            ("online + batch, online first", online_run(args.build, trace, True,
                                                        csv=csv("online-first"))),
        ]
        print_table(f"{owner}: {args.rate} calls/s for {args.seconds} s, seed {args.seed}", rows)
        online_only, _, online_first = (row for _, row in rows)
        idle = 1 - online_only["busyShare"]
        filled = (online_first["busyShare"] - online_only["busyShare"]) / idle
        first = (online_first["online"]["firstTokenMs"]["p99"]
                 / online_only["online"]["firstTokenMs"]["p99"])
        whole = (online_first["online"]["wholeAnswerMs"]["p99"]
                 / online_only["online"]["wholeAnswerMs"]["p99"])
        print(f"harm at p99: first token {first:.3f}, whole answer {whole:.3f}; "
              f"idle slot time filled by batch {filled:.3f}; "
              f"preemptions {online_first['preempted']:.0f}")


def routing(args, directory):
    """Compares the routing policies on the same trace."""
    trace = pathlib.Path(directory, "routing.jsonl")
    with Deployment(args.build) as tool:
        tool.generate(trace, deployment="lotka", duration=args.seconds * 1000, rate=args.rate * 1.6,
                      seed=args.seed)
    rows = [(policy, online_run(args.build, trace, False, entry=(f"--routing={policy}",)))
            for policy in ("balanced", "random", "round-robin")]
    print_table(f"routing: {args.rate * 1.6:.0f} calls/s for {args.seconds} s, seed {args.seed}",
                rows)


def failures(args, directory):
    """Checks outcomes under load while processes are killed, the link is cut and the store is
    unavailable."""
    trace = pathlib.Path(directory, "failures.jsonl")
    seconds = args.outage + args.cut + 30
    items = args.items
    with Deployment(args.build) as deployment:
        start_with_link(deployment)
        deployment.generate(trace, deployment="lotka", duration=seconds * 1000, rate=args.rate,
                            seed=args.seed)
        deployment.submit("league", items, BATCH_TOKENS)
        time.sleep(2)
        begin = time.monotonic()
        callers = ",".join(entry.addresses["callers"] for entry in deployment.entries[:2])
        running = deployment.start_replay(trace, callers=callers)

        def note(text):
            print(f"{time.monotonic() - begin:6.1f} s  {text}")

        time.sleep(3)
        note("two agents killed")
        for agent in deployment.agents[:2]:
            agent.kill()
        time.sleep(2)
        note("an engine killed, and started again")
        deployment.engines[3].kill()
        address = deployment.engines[3].addresses["http"]
        deployment.engines[3].command.append(f"--listen={address}")
        deployment.engines[3].start()
        note("the entry process without online callers killed")
        deployment.entries[2].kill()
        done_before = deployment.job_status("league").get("completed", 0)
        killed_at = time.monotonic()
        while deployment.job_status("league").get("completed", 0) <= done_before:
            time.sleep(0.1)
        note(f"batch goes on; first further outcome after {time.monotonic() - killed_at:.1f} s")
        far = deployment.metric("radishplank_bytes_other_region_total")
        note(f"link between regions cut; {far / 1000:.0f} kB across so far")
        cut_at = time.monotonic()
        deployment.link(REGION_LINK, mode="cut")
        time.sleep(args.cut)
        deployment.link(REGION_LINK, mode="pass")
        healed_at = time.monotonic()
        while deployment.metric("radishplank_bytes_other_region_total") <= far * 1.05:
            time.sleep(0.1)
        note(f"link back after {healed_at - cut_at:.0f} s; used again after "
             f"{time.monotonic() - healed_at:.1f} s")
        body = json.dumps({"outage": True})
        from deployment import http
        http("POST", deployment.store, "/switches", body)
        note("store out")
        before = totals(deployment)["tokens"]
        time.sleep(args.outage)
        during = totals(deployment)["tokens"]
        http("POST", deployment.store, "/switches", json.dumps({"outage": False}))
        note(f"store back after {args.outage} s; {(during - before) / args.outage:.0f} tokens/s "
             "meanwhile")
        output, _ = running.communicate()
        report = json.loads(output)
        while deployment.job_status("league").get("state") != "completed":
            time.sleep(0.2)
        note("job completed")
        results = deployment.results("league")
        identifiers = {result["id"] for result in results}
        print(f"online: {report['answered']} of {report['calls']} answered, "
              f"{report['refused']} refused, {report['failed']} failed, "
              f"{report['cutOff']} cut off, {report['wrong']} wrong; "
              f"first token p99 {report['firstTokenMs']['p99']:.0f} ms, "
              f"max {report['firstTokenMs']['max']:.0f} ms")
        print(f"batch: {len(identifiers)} of {items} items, {len(results)} results, "
              f"{sum(1 for each in results if each['status'] != 'completed')} not completed")


def retries(args, directory):
    """Measures the attempts per call while half of the upstreams are killed repeatedly."""
    trace = pathlib.Path(directory, "retries.jsonl")
    seconds = 30
    with Deployment(args.build) as deployment:
        for _ in range(8):
            deployment.add_upstream("zone1", "region1", SLOTS, TOKEN_INTERVAL_MS)
        for _ in range(2):
            deployment.add_entry("zone1", "region1")
        deployment.put_catalogue("lotka")
        deployment.generate(trace, deployment="lotka", duration=seconds * 1000, rate=args.rate / 3,
                            seed=args.seed)
        for engine in deployment.engines[:4]:
            engine.command.append(f"--listen={engine.addresses['http']}")
        running = deployment.start_replay(trace)
        time.sleep(2)
        names = ("requests", "retries", "streams_resumed", "requests_refused", "unknown_outcomes")
        metrics = {name: f"radishplank_{name}_total" for name in names}
        before = {name: deployment.metric(metric) for name, metric in metrics.items()}
        kills = 0
        deadline = time.monotonic() + seconds - 6
        while time.monotonic() < deadline:
            engine = deployment.engines[kills % 4]
            engine.kill()
            engine.start()
            kills += 1
            time.sleep(0.3)
        during = {name: deployment.metric(metric) - before[name]
                  for name, metric in metrics.items()}
        output, _ = running.communicate()
        report = json.loads(output)
        print(f"\nretries: {kills} kills among 4 of 8 engines in {seconds - 6} s; "
              f"{during['requests']:.0f} calls, {during['retries']:.0f} retries, "
              f"{during['streams_resumed']:.0f} streams resumed: "
              f"{1 + during['retries'] / during['requests']:.3f} attempts a call")
        print(f"online: {report['answered']} of {report['calls']} answered, "
              f"{report['refused']} refused, {report['failed']} failed, "
              f"{report['cutOff']} cut off, {report['wrong']} wrong; "
              f"first token p99 {report['firstTokenMs']['p99']:.0f} ms, "
              f"max {report['firstTokenMs']['max']:.0f} ms")


def shifting_trace(path, seconds, rate, seed):
    """Writes a trace for two models; the more popular one changes halfway through the trace."""
    random_numbers = random.Random(seed)
    offset = 0.0
    with open(path, "w", encoding="utf-8") as file:
        for number in itertools.count():
            offset += random_numbers.expovariate(rate)
            if offset > seconds:
                return
            is_first_half = offset < seconds / 2
            popular = "alpha" if is_first_half else "beta"
            other = "beta" if is_first_half else "alpha"
            entry = popular if random_numbers.random() < 0.9 else other
            file.write(json.dumps({"offsetMs": offset * 1000, "owner": "lotka", "entry": entry,
                                   "prompt": f"shift {number}", "tokens": 40}) + "\n")


def placement(args, directory):
    """Compares demand-driven placement of two models with a fixed half of the engines for each."""
    trace = pathlib.Path(directory, "placement.jsonl")
    seconds = 80
    engines = 8
    shifting_trace(trace, seconds, rate=28, seed=args.seed)
    settings = ("--placement-interval=1000", "--placement-dwell=5000", "--load-interval=1000")
    print(f"\nplacement: 28 calls/s for {seconds} s, 90% for one of two models, which change after "
          f"{seconds // 2} s; {engines} engines of {SLOTS} slots; seed {args.seed}")
    for name in ("fixed", "placed"):
        with Deployment(args.build) as deployment:
            for number in range(engines):
                fixed = "alpha" if number % 2 == 0 else "beta"
                deployment.add_upstream("zone1", "region1", SLOTS, TOKEN_INTERVAL_MS, pool=fixed,
                                        models="alpha,beta" if name == "placed" else None)
            for _ in range(2):
                deployment.add_entry("zone1", "region1", settings)
            deployment.put("entries/lotka/beta", {"pool": "beta"})
            deployment.put_catalogue("lotka", entry="alpha")
            time.sleep(12)
            report = deployment.replay(trace)
            moves = sum(deployment.state(entry)["placement"]["moves"]
                        for entry in deployment.entries)
            first = report["firstTokenMs"]
            print(f"{name:8} {report['answered']} of {report['calls']} answered, "
                  f"{report['refused']} refused, {report['failed']} failed, "
                  f"{report['cutOff']} cut off, {report['wrong']} wrong; first token "
                  f"p50 {first['p50']:.0f} ms, p99 {first['p99']:.0f} ms; {moves} loads")


def main():
    parts = {"harm": harm, "routing": routing, "failures": failures, "retries": retries,
             "placement": placement}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="Build")
    parser.add_argument("--parts", default="harm,routing,failures,retries,placement",
                        help="comma-separated parts to run, of: " + ", ".join(parts))
    parser.add_argument("--seconds", type=int, default=15, help="length of each trace in seconds")
    parser.add_argument("--rate", type=float, default=60, help="mean online calls per second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cut", type=int, default=30, help="link outage in seconds")
    parser.add_argument("--items", type=int, default=8_000,
                        help="number of batch items in the part 'failures'")
    parser.add_argument("--outage", type=int, default=40, help="store outage in seconds")
    parser.add_argument("--deployments", default="sundholl,lotka",
                        type=lambda text: text.split(","))
    parser.add_argument("--csv", help="folder for CSV files with one line per call")
    args = parser.parse_args()
    if args.csv:
        pathlib.Path(args.csv).mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="radishplank-traces-") as directory:
        for name in args.parts.split(","):
            parts[name](args, directory)


if __name__ == "__main__":
    try:
        main()
    except subprocess.CalledProcessError as failure:
        raise SystemExit(f"{failure}") from failure

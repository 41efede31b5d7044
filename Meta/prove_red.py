"""Mutation testing: checks that each guarantee's test fails when its mechanism is disabled.

For each mechanism: disables it in a scratch copy of the sources, builds, runs the test of its
guarantee and expects the test to fail. docs/PROOFS.md records the results.
"""

import argparse
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time

DAEMON = "Services/radishplankd/"

# name: (file, source text of the mechanism, replacement that disables it, test program, test)
MECHANISMS = {
    "preemption": (
        "Libraries/Serving/SlotScheduler.cpp",
        "void SlotScheduler::preemptForWaiting(SchedulerActions &actions)\n{",
        "void SlotScheduler::preemptForWaiting(SchedulerActions &actions)\n{\n"
        "    if (actions.start.size() < 1000)\n        return;",
        "TestIntegration", "Online calls never wait behind batch work"),
    "bounded queue": (
        "Libraries/Serving/SlotScheduler.cpp", "isWaiting && queue.size() > limit",
        "isWaiting && queue.size() > limit + 1000",
        "TestIntegration", "A full online queue*"),
    "tombstone": (
        "Libraries/Serving/AttemptRegistry.cpp",
        "    position->second = State::Cancelled;\n    return AttemptFate::NeverBegan;",
        "    m_states.erase(position);\n    return AttemptFate::NeverBegan;",
        "TestIntegration", "The outcome not-run is reported only when*"),
    "incarnation": (
        "Libraries/Serving/AttemptRegistry.cpp",
        "    if (incarnation != m_incarnation)\n        return Admission::OtherIncarnation;",
        "    if (incarnation.empty())\n        return Admission::OtherIncarnation;",
        "TestIntegration", "The outcome not-run is reported only when*"),
    "record of keyed calls": (
        DAEMON + "Entry/CallerApi.cpp", "if (!spec.isRetryable && !key.empty())",
        "if (!spec.isRetryable && key == \"never\")",
        "TestIntegration", "A non-idempotent call runs at most once*"),
    "no retry of unknown fates": (
        DAEMON + "Entry/CallRunner.cpp", "    if (!spec.isRetryable)\n        return failWithUnknownOutcome(spec);\n    progress",
        "    progress",
        "TestIntegration", "A non-idempotent call runs at most once*"),
    "reading on at a silent connection": (
        DAEMON + "Entry/AttemptClient.cpp", "constexpr int maxReattachments = 2;",
        "constexpr int maxReattachments = 0;",
        "TestIntegration", "Each caller gets its own whole response*"),
    "resuming at another upstream": (
        DAEMON + "Entry/CallRunner.cpp",
        "makeAttempt(spec, WorkClass::Online, id, progress.tokens, suspicion)",
        "makeAttempt(spec, WorkClass::Online, id, 0, suspicion)",
        "TestIntegration", "Each caller gets its own whole response*"),
    "memory of crashes": (
        "Libraries/Gateway/RelayCall.cpp", "            return refuseCrashing(*refused);",
        "            logStateChange(\"call-refused\", {{\"ms\", std::to_string(refused->count())}});",
        "TestPlatform", "A request that crashes every server*"),
    "news of crashes": (
        "Libraries/Gateway/PeerLink.cpp", "    m_crashes.applyReport(report.crashUpdates, now);", "",
        "TestPlatform", "A request that crashes every server*"),
    "silence checked for a crash": (
        "Libraries/Gateway/RelayCall.cpp",
        "    if (silentUpstream)\n        checkForCrash(*silentUpstream);", "",
        "TestPlatform", "A request that makes servers unresponsive*"),
    "ends with a cause in common": (
        "Libraries/Gateway/CrashTracker.cpp",
        "    return std::none_of(m_allCrashes.begin(), m_allCrashes.end(), [&](const Crash &other) {",
        "    return record.crashes.empty() || m_allCrashes.empty() || true\n"
        "        || std::none_of(m_allCrashes.begin(), m_allCrashes.end(), [&](const Crash &other) {",
        "TestGateway", "Upstreams that end together*"),
    "bounded pause of items": (
        "Libraries/Batch/JobQueue.cpp", "maxInterruptionDelay{2'000}", "maxInterruptionDelay{15'000}",
        "TestBatch", "The end of a run decides whether the item is retried"),
    "quarantine": (
        "Libraries/Serving/Quarantine.h", "crashesToQuarantine = 2;", "crashesToQuarantine = 100;",
        "TestIntegration", "A request that crashes upstreams*"),
    "telling others of crashes": (
        "Libraries/Serving/Quarantine.cpp",
        "    for (const auto &notice : notices) {",
        "    for (const auto &notice : notices) {\n        if (notice.age >= Milliseconds(0))\n"
        "            continue;",
        "TestIntegration", "A request that crashes upstreams*"),
    "leaving upstreams": (
        DAEMON + "Fleet/Upstream.cpp",
        "return m_report.isAccepting && m_member.state == MemberState::Live",
        "return m_report.isAccepting",
        "TestIntegration", "A draining upstream gets no new work*"),
    "draining at a planned stop": (
        DAEMON + "Entry/EntryDaemon.cpp", "&& (callerServer.activeExchanges() > 0",
        "&& (callerServer.activeExchanges() > 1000",
        "TestIntegration", "A graceful shutdown of an entry process*"),
    "conditional progress": (
        "Libraries/Batch/ShardLease.h",
        "        m_version = TRY(\n",
        "        const auto current = m_store.get(m_key);\n"
        "        if (!current.isError())\n            m_version = current.value().version;\n"
        "        m_version = TRY(\n",
        "TestBatch", "Only the holder of a shard*"),
    "settling doubtful writes": (
        "Libraries/Store/ConfirmedWrite.h", "            mayHaveTakenEffect = true;",
        "            mayHaveTakenEffect = false;",
        "TestIntegration", "A job is accepted only when it is durable"),
    "lease lapse": (
        "Libraries/Batch/LeaseObserver.cpp", "return now - observation.since >= m_duration + margin;",
        "return now - observation.since >= m_duration * 1000 + margin;",
        "TestIntegration", "Each accepted item completes exactly once"),
    "started marks": (
        DAEMON + "Jobs/ShardRunner.cpp", "    if (item.spec.isRetryable)\n        return true;",
        "    if (item.number + 1 > 0)\n        return true;",
        "TestIntegration", "Non-idempotent items run at most once*"),
    "handing shards back": (
        DAEMON + "Jobs/ShardRunner.cpp", "    if (m_isComplete || m_command == Command::Drop)",
        "    if (m_isComplete || m_command != Command::Run)",
        "TestIntegration", "An entry process that shuts down releases its shards"),
    "closing the shards of a cancelled job": (
        "Libraries/Batch/JobStore.h",
        "            TRY(closeShard(job, current.manifest, shard));",
        "            if (shard > 1000)\n"
        "                TRY(closeShard(job, current.manifest, shard));",
        "TestIntegration", "A cancelled batch stops*"),
    "noticing callers that leave": (
        DAEMON + "Entry/CallerApi.cpp", "return !exchange.isClientDisconnected();", "return true;",
        "TestIntegration", "A caller that disconnects frees its slot"),
    "refusing duplicate fields": (
        "Libraries/Core/Json.cpp", "    if (twice)\n", "    if (twice && text.empty())\n",
        "TestIntegration", "Requests and batches of callers pass*"),
    "share of the link for batch": (
        "Libraries/Serving/LinkAllowance.cpp", "return balanceAt(now) > 0;",
        "return balanceAt(now) > -1e18;",
        "TestIntegration", "Batch runs on idle engines of the other region*"),
    "sweeping uploads": (
        DAEMON + "Jobs/StoreSweeper.cpp", "        if (isElected())\n            logSwept(\"uploads",
        "        if (isElected() && m_settings.uploadTime.count() == 0)\n"
        "            logSwept(\"uploads",
        "TestIntegration", "Objects of an incomplete upload*"),
    "waiting for news of crashes": (
        DAEMON + "Fleet/ConfigurationSync.cpp", "    group.waitFor(crashExchangeTimeout);",
        "    group.waitFor(Milliseconds(0));",
        "TestIntegration", "A crashing request sent to two entry processes*"),
    "versions only rise": (
        "Libraries/Catalogue/ConfigurationReplica.cpp",
        "found->second.object.version >= change.object.version",
        "found->second.object.version == change.object.version",
        "TestCatalogue", "A configuration replica never reverts*"),
    "learning from peers": (
        DAEMON + "Fleet/ConfigurationSync.cpp",
        "    if (m_context.configuration.apply(answer.changes, answer.revision))",
        "    if (m_context.configuration.apply({}, noVersion))",
        "TestIntegration", "A catalogue change takes effect*"),
    "lent rates are not used": (
        "Libraries/Limits/RateQuota.cpp",
        "return std::max(0.0, m_owned - lentOut(now)) + borrowed(now);",
        "return std::max(0.0, m_owned) + borrowed(now);",
        "TestLimits", "The sum of all rates never exceeds the limit*"),
    "lending of limits nobody has used here": (
        DAEMON + "Entry/LimitSharing.cpp", "        registerLimit(share.key);",
        "        if (share.key.empty())\n            registerLimit(share.key);",
        "TestIntegration", "An owner that calls only one entry process*"),
    "holding lent slots until calls have ended": (
        "Libraries/Limits/ConcurrencyQuota.cpp", "now + loanDuration + m_callTime",
        "now + loanDuration",
        "TestLimits", "Concurrent calls never exceed the limit*"),
    "lending of slots": (
        "Libraries/Limits/ConcurrencyQuota.cpp", "    loan.slots = request.held + extra;",
        "    loan.slots = request.held + extra * 0;",
        "TestIntegration", "An owner limited to one concurrent call*"),
    "no shard without a part of the limit": (
        DAEMON + "Jobs/BatchScheduler.cpp", "    return itemShare(owner) != 0;",
        "    return itemShare(owner) != -1;",
        "TestIntegration", "A concurrent item limit below*"),
    "due time first": (
        DAEMON + "Jobs/BatchScheduler.cpp",
        "        return std::tie(left.dueBucket, left.served, left.dueAt, left.job)\n"
        "               < std::tie(right.dueBucket, right.served, right.dueAt, right.job);",
        "        return std::tie(left.served, left.job) < std::tie(right.served, right.job);",
        "TestIntegration", "Batch jobs run by due time*"),
    "fairness by weight": (
        DAEMON + "Jobs/BatchScheduler.cpp",
        "        return std::tie(left.dueBucket, left.served, left.dueAt, left.job)\n"
        "               < std::tie(right.dueBucket, right.served, right.dueAt, right.job);",
        "        return std::tie(left.dueBucket, left.dueAt, left.job)\n"
        "               < std::tie(right.dueBucket, right.dueAt, right.job);",
        "TestIntegration", "Batch jobs run by due time*"),
    "attempts name their pool": (
        DAEMON + "Agent/Agent.cpp", "        if (!m_orders.loader().serves(order.pool))",
        "        if (!m_orders.loader().serves(order.pool) && order.pool.empty())",
        "TestIntegration", "Models are placed according to demand"),
    "fencing after a restart of the agent": (
        DAEMON + "Agent/AgentDaemon.cpp", "            return lease.isError() ? 0 : lease.value().fencing;",
        "            return lease.isError() ? 0 : lease.value().fencing * 0;",
        "TestIntegration", "Two processes that both hold the placement lease*"),
    "gain asked of a move": (
        "Libraries/Placement/PlacementPlanner.cpp", "constexpr double minimumLoadRatio = 1.25;",
        "constexpr double minimumLoadRatio = 0.5;",
        "TestPlacement", "Engines are placed where the demand is"),
    "comparing digests": (
        DAEMON + "Fleet/ConfigurationSync.cpp", "    if (!isComparable || answer.digest == own.digest)",
        "    if (!isComparable || answer.digest + 1 > 0)",
        "TestIntegration", "A catalogue change takes effect*"),
    "halving when isolated": (
        "Libraries/Limits/OwnerLimits.cpp", "    return m_isIsolated ? whole / isolationDivisor : whole;\n}\n\n}",
        "    return m_isIsolated ? whole / 1 : whole;\n}\n\n}",
        "TestIntegration", "A catalogue change takes effect*"),
    "a deadline for the whole body": (
        "Libraries/Net/HttpConnection.cpp", "readChunkUntil(deadline));",
        "readChunkUntil(std::max(deadline, SteadyClock().now() + m_limits->bodyTimeout)));",
        "TestNet", "Server limits bound the time and memory*"),
    "a bound on all bodies together": (
        "Libraries/Net/HttpConnection.cpp", "<= m_limits->totalBodyBytes)",
        "<= m_limits->totalBodyBytes * 100)",
        "TestNet", "Server limits bound the time and memory*"),
    "closing silent strangers": (
        "Libraries/Control/ControlListener.cpp", "                  if (current.isOpened)\n",
        "                  if (current.isOpened || authenticationTimeout > 0 * kj::SECONDS)\n",
        "TestControl", "Processes exchange control calls*"),
    "fencing of orders": (
        DAEMON + "Agent/EngineOrders.cpp", "    if (fencing < m_highestFencing)",
        "    if (fencing < 0)",
        "TestIntegration", "An agent refuses orders to its engine*"),
    "time asleep counts for nothing": (
        "Libraries/Serving/HeartbeatMonitor.cpp", "return gap > m_longestGap ? gap : Duration::zero();",
        "return gap < Duration::zero() ? gap : Duration::zero();",
        "TestServing", "A process is unresponsive*"),
    "answering calls that came while asleep": (
        "Libraries/Serving/HeartbeatMonitor.cpp", "return gap > m_longestGap ? gap : Duration::zero();",
        "return gap < Duration::zero() ? gap : Duration::zero();",
        "TestIntegration", "A catalogue change takes effect*"),
    "retries into free slots": (
        "Libraries/Serving/RetryBudget.cpp", "    if (availability == SlotAvailability::Free)\n        return true;\n",
        "    (void)availability;\n",
        "TestIntegration", "Streams of lost upstreams resume*"),
    "budget of retries": (
        "Libraries/Serving/RetryBudget.cpp", "    if (m_available < 1)\n        return false;\n", "",
        "TestServing", "Retries run where slots are free*"),
    "looking for ends in the store": (
        "Libraries/Gateway/JobService.h", "m_endsMirror.run(); }", "(void)m_endsMirror; }",
        "TestGateway", "A job is owned by the process*"),
    "looking for jobs in doubt": (
        "Libraries/Gateway/JobService.h", "m_uncertainSubmissions[job.id]\n"
        "                        = {SteadyClock().now() + uncertainWriteTimeout, limit, job.tokens()};",
        "m_uncertainSubmissions.erase(job.id);",
        "TestGateway", "A job is owned by the process*"),
    "one fiber reads or writes a job": (
        "Libraries/Gateway/JobService.h", "            if (job->isOwnershipUncertain && !job->isWriting)\n                spawnWriter(job);",
        "            if (job->isOwnershipUncertain && !job->isWriting)\n                reload(job, {});",
        "TestGateway", "A job is owned by the process*"),
    "shares of the room for batch": (
        "Libraries/Gateway/UpstreamSelector.cpp",
        "sharePerRound * capacity * waiting / std::max(waiting, waitingOfAll)", "capacity + 0 * waitingOfAll",
        "TestGateway", "A burst of jobs*"),
    "dropping results that a successor has written": (
        "Libraries/Gateway/JobService.h", "            if (!hasResult(*job, result.item))\n", "",
        "TestGateway", "A job is owned by the process*"),
    "what may have run is not sent again": (
        "Libraries/Gateway/RelayCall.cpp",
        "    return m_call.route->mayRunAgain() && m_runs < m_call.route->maxUpstreams",
        "    return m_runs < 2",
        "TestPlatform", "Streams pass through*"),
    "resuming a stream after its last event": (
        "Libraries/Gateway/RelayCall.cpp", "        if (event.id)\n            m_lastEvent = event.id;\n",
        "",
        "TestPlatform", "Streams pass through*"),
    "nothing for draining servers": (
        "Libraries/Gateway/UpstreamTable.cpp", "state.info.isDraining || ", "",
        "TestPlatform", "Streams pass through*"),
    "peers are told what the store says": (
        "platform/FleetSync.cpp",
        "    // Peers get the state of the store; each decides by itself whether to defer the removal.\n"
        "    m_objects.erase(id);\n", "",
        "TestPlatform", "Entry processes learn from each other"),
    "a peer makes the calls": (
        "platform/PlatformObjectStore.cpp", "m_isReachable || !findProxy ?",
        "m_isReachable || findProxy ?",
        "TestPlatform", "Entry processes learn from each other"),
    "looking at a write without an answer": (
        "platform/PlatformObjectStore.cpp", "    boost::this_fiber::sleep_for(writeCheckDelay);",
        "    boost::this_fiber::sleep_for(std::chrono::hours(1));",
        "TestPlatform", "Batch jobs run and can be read at any process"),
    "routes never go back": (
        "Libraries/Gateway/RouteTable.cpp", "    if (table->version() <= version())",
        "    if (table->version() == version())",
        "TestGateway", "A directory never goes back*"),
    "answers to earlier calls are passed over": (
        "Libraries/Net/HttpClient.cpp", "        return match.header.empty()\n",
        "        return true || match.header.empty()\n",
        "TestNet", "A response is matched to its call*"),
    "settings taken over at SIGHUP": (
        "platform/EntryProgram.cpp", "    link.setSeeds(settings.seeds);\n", "    (void)link;\n",
        "TestPlatform", "An entry process reloads its settings*"),
    "budget of log lines": (
        "Libraries/Core/LogBudget.cpp", "    if (bucket.lines < 1) {", "    if (bucket.lines < -1e9) {",
        "TestLog", "Each event has a budget of lines"),
    "room under a limit": (
        "Libraries/Limits/ClaimedQuota.cpp", "if (needed > 0 && wanted > claimable) {",
        "if (needed > 0 && wanted > 2 * m_limit) {",
        "TestLimits", "The claims on a limit never add up to more than the limit"),
    "lease of a claim": (
        "Libraries/Limits/ClaimedQuota.cpp", "now - *m_confirmedAt < claimLease;",
        "now - *m_confirmedAt < 1'000 * claimLease;",
        "TestLimits", "A claim is used only while its lease is certainly valid"),
    "claim kept over a restart": (
        "Libraries/Gateway/JobService.h", "            if (m_areOwnJobsKnown)\n", "",
        "TestGateway", "A restarted process keeps its claim*"),
    "late items behind the others": (
        "Libraries/Batch/JobQueue.cpp", "const std::pair rank(isLate, job.limits.due);",
        "const std::pair rank(isLate && item.size < 0, job.limits.due);",
        "TestBatch", "Under overload, most started items*"),
    "fence of an earlier owner": (
        "Libraries/Gateway/JobService.h",
        "m_log.loadFenced(id, makeUniqueId(m_context.self.text()))", "m_log.load(id)",
        "TestGateway", "A job is owned by the process that accepted it"),
    "what is left of a silent peer's jobs": (
        "Libraries/Gateway/PeerTable.cpp", "(winsRendezvous(jobHash(job), now) || isFallbackSuccessor(owner, now));",
        "winsRendezvous(jobHash(job), now);",
        "TestGateway", "A job is taken over*"),
    "upstreams that say that they leave": (
        "Libraries/Gateway/UpstreamTable.cpp",
        "|| state.info.isDraining || isLeaving(state)", "|| state.info.isDraining",
        "TestGateway", "Upstreams come and go"),
    "progress of an item": (
        "Libraries/Gateway/ItemRun.cpp",
        "if (streamProgress.isStalled(idleTimeout, now))",
        "if (streamProgress.isStalled(idleTimeout, now) && now < TimePoint())",
        "TestPlatform", "An endless response*"),
}


def build(source, directory, target):
    subprocess.run(["cmake", "-S", source, "-B", directory, "-G", "Ninja"], check=True,
                   stdout=subprocess.DEVNULL)
    result = subprocess.run(["cmake", "--build", directory, "-j", "4", "--target", target],
                            stdout=subprocess.PIPE, text=True)
    if result.returncode != 0:
        raise RuntimeError(result.stdout[-2000:])


def first_failure(output):
    """Returns the first failed assertion as a single line."""
    match = re.search(r"FAILED:\n(.*?)\n\n", output, re.S)
    text = match.group(1) if match else output[-200:]
    return re.sub(r"\s+", " ", text)[:160]


def prove(name, source, directory):
    path, mechanism, replacement, program, test = MECHANISMS[name]
    file = pathlib.Path(source, path)
    original = file.read_text()
    if original.count(mechanism) != 1:
        return f"{name}: the mechanism's text occurs {original.count(mechanism)} times in {path}"
    file.write_text(original.replace(mechanism, replacement))
    try:
        build(source, directory, program)
        started_at = time.monotonic()
        # Catch2 separates patterns by commas.
        pattern = test.replace(",", "\\,")
        run = subprocess.run([f"{directory}/Tests/{program}", pattern], stdout=subprocess.PIPE,
                             stderr=subprocess.STDOUT, text=True)
        seconds = time.monotonic() - started_at
    finally:
        file.write_text(original)
    if "No test cases matched" in run.stdout:
        return f"{name}: no test matches '{test}'"
    if run.returncode == 0:
        return f"{name}: NOT RED: '{test}' passes without the mechanism"
    return f"{name}: red after {seconds:.0f} s: {test}: {first_failure(run.stdout)}"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="comma-separated names of mechanisms; default: all")
    args = parser.parse_args()
    names = args.only.split(",") if args.only else list(MECHANISMS)
    root = pathlib.Path(__file__).resolve().parent.parent
    failed = False
    with tempfile.TemporaryDirectory(prefix="radishplank-red-") as scratch:
        source = pathlib.Path(scratch, "source")
        shutil.copytree(root, source, ignore=shutil.ignore_patterns("Build*", ".git"))
        for name in names:
            line = prove(name, str(source), str(pathlib.Path(scratch, "build")))
            failed = failed or ": red after" not in line
            print(line, flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

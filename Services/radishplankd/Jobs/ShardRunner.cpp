#include "Jobs/ShardRunner.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

/// Backoff after an item's upstream was lost; doubles with each further loss.
constexpr Milliseconds minLossBackoff{100};
constexpr Milliseconds maxLossBackoff{2'000};
constexpr std::size_t maxGroupItems = 400;
constexpr std::size_t maxGroupBytes = 400'000;
constexpr Milliseconds initialCommitInterval{500};
constexpr Milliseconds maxCommitInterval{4'000};
constexpr Milliseconds dispatchPollInterval{5};
constexpr Milliseconds commitPollInterval{50};
constexpr Milliseconds commitRetryTimeout{2'000};
constexpr Milliseconds recoveryDelay{300};
constexpr Milliseconds itemTimeout{600'000};
constexpr std::string_view defaultPath = "/v1/completions";

std::string fieldOr(const boost::json::object &object, std::string_view name,
                    std::string_view fallback)
{
    return textField(object, name).value_or(std::string(fallback));
}

} // namespace

ShardRunner::ShardRunner(EntryContext &context, BatchScheduler &scheduler, FiberShardLease lease,
                         JobManifest manifest, Milliseconds leaseDuration)
    : m_context(context)
    , m_scheduler(scheduler)
    , m_lease(std::move(lease))
    , m_manifest(std::move(manifest))
    , m_committedAt(SteadyClock().now())
    , m_commitInterval(initialCommitInterval)
    // Allows three attempts to renew within one lease.
    , m_maxCommitInterval(std::min(maxCommitInterval, leaseDuration / 3))
{
}

void ShardRunner::run()
{
    if (!loadItems()) {
        requestRelease();
        releaseLease();
        return;
    }
    boost::fibers::fiber committer([this] { commitLoop(); });
    dispatchItems();
    {
        std::unique_lock lock(m_mutex);
        m_itemEnded.wait(lock, [this] { return m_inFlight == 0; });
    }
    committer.join();
    releaseLease();
}

void ShardRunner::drop()
{
    m_command = Command::Drop;
}

void ShardRunner::requestRelease()
{
    auto expected = Command::Run;
    m_command.compare_exchange_strong(expected, Command::Release);
}

bool ShardRunner::loadItems()
{
    m_entry = m_context.configuration.read([this](const CatalogueSnapshot &catalogue) {
        return catalogue.entry(job().owner, m_manifest.entry);
    });
    const auto part = m_context.store.get(m_manifest.partKey(job(), shard()));
    if (part.isError() || !m_entry) {
        logStateChange("shard-not-loadable", {{"job", job().name.text()}});
        return false;
    }
    std::size_t number = 0;
    std::string_view rest = part.value().value;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        const auto parsed = parseItem(number++, rest.substr(0, end));
        if (parsed.isError())
            return false;
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    m_itemsLeft = m_lease.progress().done.size() - m_lease.progress().done.count();
    m_waitingCount = m_waiting.size();
    return number == m_lease.progress().done.size();
}

Result<void> ShardRunner::parseItem(std::size_t number, std::string_view line)
{
    if (number >= m_lease.progress().done.size())
        return Error{ErrorKind::InvalidInput, "the part has more items than its shard"};
    if (m_lease.progress().done.contains(number))
        return {};
    auto fields = TRY(parseJsonObject(line));
    auto item = std::make_shared<Item>();
    item->number = number;
    item->id = fieldOr(fields, "id", "");
    auto &spec = item->spec;
    spec.entry = m_entry;
    spec.method = fieldOr(fields, "method", "POST");
    spec.target = fieldOr(fields, "path", m_entry->kind == EntryKind::Model ? defaultPath : "/");
    const auto &body = fields["body"];
    if (m_entry->kind == EntryKind::Model && body.is_object())
        spec.request = body.as_object();
    else
        spec.body = body.is_string() ? std::string(body.as_string()) : boost::json::serialize(body);
    const auto *idempotent = fields.if_contains("idempotent");
    const bool isMarked = idempotent != nullptr && idempotent->is_bool() && !idempotent->as_bool();
    spec.isRetryable = !isMarked && m_entry->isIdempotent(spec.method, spec.target);
    spec.prefixKey = prefixKeyOf(spec.request);
    if (m_lease.progress().started.contains(number)) {
        // An earlier lease holder started this item, and its outcome cannot be determined.
        complete(*item, "unknown", "the item may have run, and must not run twice");
        return {};
    }
    m_waiting.push_back(std::move(item));
    return {};
}

void ShardRunner::dispatchItems()
{
    while (m_command == Command::Run) {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_itemsLeft == 0)
                return;
        }
        if (!dispatchNext())
            boost::this_fiber::sleep_for(dispatchPollInterval);
    }
}

bool ShardRunner::dispatchNext()
{
    const auto now = SteadyClock().now();
    const auto item = nextItem(now);
    if (!item || !m_scheduler.admitItem(job().owner))
        return false;
    const auto upstream = m_context.fleet.acquireBatchPermit(m_entry->pool, reachOf(*item, now),
                                                             now, item->avoided);
    if (!upstream) {
        m_scheduler.releaseItem(job().owner, false);
        // An upstream that was lost under this item before is better than none.
        if (item->avoided.size() >= m_context.fleet.acceptingCount(m_entry->pool))
            item->avoided.clear();
        return false;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_waiting.erase(std::find(m_waiting.begin(), m_waiting.end(), item));
        m_waitingCount = m_waiting.size();
        m_inFlight += 1;
    }
    m_context.threads.spawn(
            [self = shared_from_this(), item, upstream] { self->runItem(item, upstream); });
    return true;
}

ShardRunner::ItemPointer ShardRunner::nextItem(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto next = std::find_if(m_waiting.begin(), m_waiting.end(),
                                   [&](const auto &item) { return item->notBefore <= now; });
    return next == m_waiting.end() ? nullptr : *next;
}

BatchReach ShardRunner::reachOf(const Item &item, TimePoint now) const
{
    // The link between regions fails more often than engines do, so an item that has lost an
    // upstream stays in its own region.
    const bool mayCross = item.upstreamLosses == 0 && m_context.batchLink.mayUse(now);
    return mayCross ? BatchReach::AnyRegion : BatchReach::OwnRegion;
}

bool ShardRunner::markStarted(const Item &item)
{
    if (item.spec.isRetryable)
        return true;
    const std::scoped_lock lock(m_leaseMutex);
    const std::vector<std::size_t> items{item.number};
    const auto retryDeadline = SteadyClock().now() + commitRetryTimeout;
    const auto marked = m_lease.markStarted(
            items, FiberPause{}, [retryDeadline] { return SteadyClock().now() < retryDeadline; });
    if (!marked.isError())
        return true;
    // The mark may be in the store despite the error; this holder still knows that the item did not
    // run.
    const auto recovered = m_lease.recover();
    if (recovered.isError() && recovered.error().kind == ErrorKind::Conflict)
        drop();
    return false;
}

void ShardRunner::runItem(const ItemPointer &item, const UpstreamPointer &upstream)
{
    AttemptResult result;
    const auto exception = exceptionOf([&] { result = attemptItem(*item, *upstream); });
    if (exception) {
        logFailure("item-run-failed", {{"item", item->id}, {"reason", *exception}});
        result = {};
    }
    if (result.status == AttemptStatus::NotRun)
        upstream->noteBatchRefused(SteadyClock().now());
    else
        upstream->releaseBatchPermit();
    m_scheduler.releaseItem(job().owner, result.status == AttemptStatus::Complete);
    handleAttemptResult(item, result);
    const std::scoped_lock lock(m_mutex);
    m_inFlight -= 1;
    m_itemEnded.notify_all();
}

AttemptResult ShardRunner::attemptItem(Item &item, Upstream &upstream)
{
    AttemptResult result;
    result.status = AttemptStatus::Stopped;
    const auto now = SteadyClock().now();
    if (m_command != Command::Run || !markStarted(item))
        return result;
    item.spec.deadline = now + itemTimeout;
    const AttemptId id(makeUniqueId(m_context.node.text()));
    const auto request = makeAttempt(item.spec, WorkClass::Batch, id, item.tokens, Suspicion::None);
    result = m_context.attempts.run(upstream, request, [&](std::string_view token) {
        item.text += token;
        item.tokens += 1;
        return m_command != Command::Drop;
    });
    if (result.status == AttemptStatus::UpstreamLost || result.status == AttemptStatus::Lost)
        item.avoided.push_back(upstream.member().id);
    return result;
}

void ShardRunner::handleAttemptResult(const ItemPointer &item, const AttemptResult &result)
{
    switch (result.status) {
    case AttemptStatus::Complete: {
        m_context.usage.note(job().owner, WorkClass::Batch, item->tokens);
        boost::json::object response;
        if (m_entry->kind == EntryKind::Model) {
            response = {{"text", item->text},
                        {"tokens", item->tokens},
                        {"finish_reason", result.finishReason}};
        } else {
            response = {{"status", result.answer.status}, {"body", result.answer.body}};
        }
        complete(*item, "completed", response);
        return;
    }
    case AttemptStatus::NotRun:
    case AttemptStatus::Stopped:
        requeue(item);
        return;
    case AttemptStatus::Preempted:
        m_context.metrics.itemsPreempted.increase();
        requeue(item);
        return;
    case AttemptStatus::Rejected:
        complete(*item, "failed", boost::json::value(result.detail));
        return;
    case AttemptStatus::UpstreamLost:
    case AttemptStatus::Lost:
        break;
    }
    if (!item->spec.isRetryable) {
        complete(*item, "unknown", boost::json::value("the item may have run: " + result.detail));
        return;
    }
    // Upstreams crash for many reasons, so the item is retried however many upstreams it has lost.
    item->notBefore = SteadyClock().now()
                      + exponentialBackoff(minLossBackoff, maxLossBackoff, item->upstreamLosses);
    item->upstreamLosses += 1;
    requeue(item);
}

void ShardRunner::requeue(const ItemPointer &item)
{
    const std::scoped_lock lock(m_mutex);
    m_waiting.push_back(item);
    m_waitingCount = m_waiting.size();
}

void ShardRunner::complete(const Item &item, std::string_view status,
                           const boost::json::value &detail)
{
    boost::json::object line{
            {"id", item.id}, {"shard", shard()}, {"index", item.number}, {"status", status}};
    const bool isCompleted = status == "completed";
    line[isCompleted ? "response" : "error"] = detail;
    const auto text = boost::json::serialize(line) + "\n";
    const std::scoped_lock lock(m_mutex);
    m_pendingOutcomes.lines += text;
    m_pendingOutcomes.items.push_back(item.number);
    m_pendingOutcomes.failed += isCompleted ? 0 : 1;
    if (m_itemsLeft > 0)
        m_itemsLeft -= 1;
    (isCompleted ? m_context.metrics.itemsCompleted : m_context.metrics.itemsFailed).increase();
}

void ShardRunner::commitLoop()
{
    while (true) {
        boost::this_fiber::sleep_for(commitPollInterval);
        const auto command = m_command.load();
        if (command == Command::Drop)
            return;
        if (!commitDue(SteadyClock().now()))
            continue;
        const auto committed = commit();
        if (committed.isError()) {
            if (committed.error().kind == ErrorKind::Conflict) {
                m_context.metrics.shardsLost.increase();
                drop();
                return;
            }
            boost::this_fiber::sleep_for(recoveryDelay);
            continue;
        }
        if (m_lease.progress().isComplete()) {
            m_isComplete = true;
            return;
        }
        const std::scoped_lock lock(m_mutex);
        const bool isDrained
                = command == Command::Release && m_inFlight == 0 && m_pendingOutcomes.items.empty();
        if (isDrained)
            return;
    }
}

bool ShardRunner::commitDue(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    const auto sinceCommit = now - m_committedAt;
    const bool hasOutcomes = !m_pendingOutcomes.items.empty();
    const bool isLast = m_itemsLeft == 0 && m_inFlight == 0;
    const bool isReleasing = m_command == Command::Release && m_inFlight == 0;
    const bool isFull = m_pendingOutcomes.items.size() >= maxGroupItems
                        || m_pendingOutcomes.lines.size() >= maxGroupBytes;
    return isLast || isReleasing || isFull || (hasOutcomes && sinceCommit >= m_commitInterval)
           || sinceCommit >= m_maxCommitInterval;
}

Result<void> ShardRunner::commit()
{
    const std::scoped_lock leaseLock(m_leaseMutex);
    FiberShardLease::OutcomeBatch group;
    {
        const std::scoped_lock lock(m_mutex);
        std::swap(group, m_pendingOutcomes);
    }
    const auto retryDeadline = SteadyClock().now() + commitRetryTimeout;
    const auto mayRetry = [retryDeadline] { return SteadyClock().now() < retryDeadline; };
    const auto committed = m_lease.commit(group, FiberPause{}, mayRetry);
    if (!committed.isError()) {
        m_committedAt = SteadyClock().now();
        m_commitInterval = std::min(m_commitInterval * 2, m_maxCommitInterval);
        return {};
    }
    const auto recovered = m_lease.recover();
    const std::scoped_lock lock(m_mutex);
    const bool hasTakenEffect = !recovered.isError() && !group.items.empty()
                                && m_lease.progress().done.contains(group.items.front());
    // A group is committed atomically, so its first item shows whether the whole group is.
    if (!hasTakenEffect) {
        group.lines += m_pendingOutcomes.lines;
        group.items.insert(group.items.end(), m_pendingOutcomes.items.begin(),
                           m_pendingOutcomes.items.end());
        group.failed += m_pendingOutcomes.failed;
        m_pendingOutcomes = std::move(group);
    }
    if (recovered.isError())
        return recovered.error();
    return Error{ErrorKind::Unavailable, committed.error().message};
}

void ShardRunner::releaseLease()
{
    if (m_isComplete || m_command == Command::Drop)
        return;
    const std::scoped_lock lock(m_leaseMutex);
    const auto retryDeadline = SteadyClock().now() + commitRetryTimeout;
    (void)m_lease.release(FiberPause{},
                          [retryDeadline] { return SteadyClock().now() < retryDeadline; });
}

} // namespace Radishplank

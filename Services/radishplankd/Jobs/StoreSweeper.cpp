#include "Jobs/StoreSweeper.h"

#include "Entry/KeyedCalls.h"

namespace Radishplank {

namespace {

constexpr int uploadAgeFactor = 2;
constexpr int sweepsPerUploadTime = 2;
constexpr int sweepsPerCallRetention = 24;
constexpr std::string_view electionKey = "sweep";

std::int64_t timeBefore(Milliseconds age)
{
    return unixMilliseconds() - static_cast<std::int64_t>(age.count());
}

void logSwept(std::string_view what, const Result<std::size_t> &swept)
{
    if (!swept.isError() && swept.value() > 0)
        logStateChange(what, {{"count", std::to_string(swept.value())}});
}

} // namespace

StoreSweeper::StoreSweeper(EntryContext &context, SweepSettings settings)
    : m_context(context)
    , m_settings(settings)
    , m_uploads(context.store, FiberPause{}, callerStoreRetryTimeout)
{
}

void StoreSweeper::start()
{
    m_context.threads.spawn([this] { sweepUploads(); });
    m_context.threads.spawn([this] { sweepCalls(); });
}

void StoreSweeper::sweepUploads()
{
    while (true) {
        boost::this_fiber::sleep_for(m_settings.uploadTime / sweepsPerUploadTime);
        // Uploads missed because of a store outage are found by the next sweep.
        if (isElected())
            logSwept("uploads-swept",
                     m_uploads.sweep(timeBefore(m_settings.uploadTime * uploadAgeFactor)));
    }
}

void StoreSweeper::sweepCalls()
{
    while (true) {
        boost::this_fiber::sleep_for(m_settings.callRetention / sweepsPerCallRetention);
        if (isElected())
            logSwept("calls-swept", removeExpiredCalls(timeBefore(m_settings.callRetention)));
    }
}

bool StoreSweeper::isElected() const
{
    // Two processes that know different members may both sweep for a while. Each removal is
    // conditional, so this only costs additional store calls.
    return m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        return catalogue.nodeRank(m_context.node, electionKey) == 0;
    });
}

Result<std::size_t> StoreSweeper::removeExpiredCalls(std::int64_t before)
{
    std::size_t removed = 0;
    std::string after;
    while (true) {
        // List page by page: all records together may exceed the memory of this process.
        const auto page = TRY(m_context.store.list(callPrefix, after, ListContent::KeysAndValues));
        removed += TRY(removeExpiredCallsInPage(page, before));
        if (page.isLast || page.objects.empty())
            return removed;
        after = page.objects.back().key;
    }
}

Result<std::size_t> StoreSweeper::removeExpiredCallsInPage(const ObjectPage &page,
                                                           std::int64_t before)
{
    std::size_t removed = 0;
    for (const auto &object : page.objects) {
        const auto fields = parseJsonObject(object.value);
        if (fields.isError() || integerField(fields.value(), "at", before) >= before)
            continue;
        // A conflict means that the key has just been used again.
        auto result = m_context.store.remove(object.key, object.version);
        if (!result.isError())
            removed += 1;
        else if (result.error().kind == ErrorKind::Unavailable)
            return result.takeError();
    }
    return removed;
}

} // namespace Radishplank

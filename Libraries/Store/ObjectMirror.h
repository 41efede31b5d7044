#pragma once

#include <Core/Core.h>
#include <Store/ObjectStore.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace Radishplank {

/// How a mirror deals with its store.
struct MirrorPace
{
    /// Longest time that one watch waits for a change.
    Milliseconds watchWait{20'000};
    /// Least time between two watches, so that frequent changes are fetched together.
    Milliseconds watchInterval{300};
    /// Pause after the first call that failed; doubles with each further one up to the longest.
    Milliseconds retryInterval{250};
    Milliseconds longestRetryInterval{1'000};
    /// Time between two checks whether the mirror is wanted again.
    Milliseconds unwantedInterval{100};
};

/// What a mirror tells of its objects; called by the mirror's own fiber.
struct MirrorHandler
{
    /// The store's objects as a whole; replaces all that was told before.
    std::function<void(const std::vector<StoredObject> &, Version revision)> onList;
    std::function<void(const ObjectChange &)> onChange;
    /// All changes up to this revision have been told; called only after some have been.
    std::function<void(Version revision)> onRevision;
    /// The store answers again, after it did not for the given time.
    std::function<void(Duration)> onStoreBack;
    /// Tells whether the mirror is to ask the store at all; missing: always.
    std::function<bool()> isWanted;
};

/// Keeps up with all objects under a prefix by one list and then watches, in the calling fiber.
template<ObjectStore Store, typename Pause>
class ObjectMirror
{
public:
    ObjectMirror(Store &store, std::string prefix, MirrorPace pace, MirrorHandler handler)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_pace(pace)
        , m_handler(std::move(handler))
    {
    }

    /// Runs for as long as the process does.
    [[noreturn]] void run()
    {
        while (true) {
            if (m_handler.isWanted && !m_handler.isWanted()) {
                m_isListed = false;
                m_pause(m_pace.unwantedInterval);
            } else if (!m_isListed) {
                listAll();
            } else {
                watchOnce();
            }
        }
    }

    /// Tells whether the mirror keeps up with the store, as far as it knows.
    [[nodiscard]] bool isCurrent() const { return m_isListed && !m_isFailing; }

private:
    void listAll()
    {
        std::vector<StoredObject> objects;
        std::string after;
        Version revision = noVersion;
        while (true) {
            auto page = m_store.list(m_prefix, after, ListContent::KeysAndValues);
            if (page.isError()) {
                noteFailure(page.error());
                return;
            }
            // Changes between two pages come with the watch from the first page's revision.
            if (revision == noVersion)
                revision = page.value().revision;
            for (auto &object : page.value().objects)
                objects.push_back(std::move(object));
            if (page.value().isLast || page.value().objects.empty())
                break;
            after = objects.back().key;
        }
        noteSuccess();
        m_handler.onList(objects, revision);
        m_revision = revision;
        m_isListed = true;
    }

    void watchOnce()
    {
        const auto began = SteadyClock().now();
        auto batch = m_store.watch(m_prefix, m_revision, m_pace.watchWait);
        if (batch.isError()) {
            // The store no longer has the changes since our revision.
            if (batch.error().kind == ErrorKind::NotFound) {
                logStateChange("watch-history-lost", {{"prefix", m_prefix}});
                m_isListed = false;
                return;
            }
            noteFailure(batch.error());
            return;
        }
        noteSuccess();
        for (const auto &change : batch.value().changes)
            m_handler.onChange(change);
        m_revision = std::max(m_revision, batch.value().revision);
        if (!batch.value().changes.empty() && m_handler.onRevision)
            m_handler.onRevision(m_revision);
        const auto took = SteadyClock().now() - began;
        if (took < m_pace.watchInterval)
            m_pause(std::chrono::duration_cast<Milliseconds>(m_pace.watchInterval - took));
    }

    void noteFailure(const Error &error)
    {
        if (!m_isFailing) {
            m_isFailing = true;
            m_failingSince = SteadyClock().now();
            m_retryPause = m_pace.retryInterval;
            logStateChange("store-lost", {{"prefix", m_prefix}, {"reason", error.message}});
        }
        m_pause(m_retryPause);
        m_retryPause = std::min(2 * m_retryPause, m_pace.longestRetryInterval);
    }

    void noteSuccess()
    {
        if (!m_isFailing)
            return;
        m_isFailing = false;
        const auto outage = SteadyClock().now() - m_failingSince;
        const auto outageMs = std::chrono::duration_cast<Milliseconds>(outage).count();
        logStateChange("store-back",
                       {{"prefix", m_prefix}, {"outageMs", std::to_string(outageMs)}});
        if (m_handler.onStoreBack)
            m_handler.onStoreBack(outage);
    }

    Store &m_store;
    const std::string m_prefix;
    const MirrorPace m_pace;
    const MirrorHandler m_handler;
    Pause m_pause;
    Version m_revision = noVersion;
    bool m_isListed = false;
    bool m_isFailing = false;
    TimePoint m_failingSince{};
    Milliseconds m_retryPause{0};
};

} // namespace Radishplank

#pragma once

#include <Core/Core.h>
#include <Store/ObjectStore.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace Radishplank {

/// Watch and retry intervals of a mirror.
struct MirrorIntervals
{
    /// Longest time that a watch call waits for a change.
    Milliseconds watchTimeout{20'000};
    /// Minimum interval between watch calls, so that frequent changes are batched.
    Milliseconds minWatchInterval{300};
    /// Delay after the first failed call; doubles with each further one up to the maximum.
    Milliseconds initialRetryDelay{250};
    Milliseconds maxRetryDelay{1'000};
    /// Interval at which a disabled mirror checks whether it is enabled again.
    Milliseconds disabledPollInterval{100};
};

/// Callbacks of a mirror, called on the fiber that runs it.
struct MirrorCallbacks
{
    /// Receives a full listing, which replaces everything reported before.
    std::function<void(const std::vector<StoredObject> &, Version revision)> onList;
    std::function<void(const ObjectChange &)> onChange;
    /// Called after a batch of changes: all changes up to this revision have been reported.
    std::function<void(Version revision)> onRevision;
    /// Called when the store is reachable again, with the length of the outage.
    std::function<void(Duration)> onStoreRecovered;
    /// Whether the mirror may call the store; always if unset.
    std::function<bool()> isEnabled;
};

/// Follows all objects under a prefix by a list call and then watch calls, on the calling fiber.
template<ObjectStore Store, typename Pause>
class ObjectMirror
{
public:
    ObjectMirror(Store &store, std::string prefix, MirrorIntervals pace, MirrorCallbacks handler)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_pace(pace)
        , m_handler(std::move(handler))
    {
    }

    /// Runs until the process exits.
    [[noreturn]] void run()
    {
        while (true) {
            if (m_handler.isEnabled && !m_handler.isEnabled()) {
                m_isListed = false;
                m_pause(m_pace.disabledPollInterval);
            } else if (!m_isListed) {
                listAll();
            } else {
                watchOnce();
            }
        }
    }

    /// Returns whether the mirror has listed the objects and its last call succeeded.
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
                handleFailure(page.error());
                return;
            }
            // The watch starts at the first page's revision, so it covers changes between pages.
            if (revision == noVersion)
                revision = page.value().revision;
            for (auto &object : page.value().objects)
                objects.push_back(std::move(object));
            if (page.value().isLast || page.value().objects.empty())
                break;
            after = objects.back().key;
        }
        handleSuccess();
        m_handler.onList(objects, revision);
        m_revision = revision;
        m_isListed = true;
    }

    void watchOnce()
    {
        const auto began = SteadyClock().now();
        auto batch = m_store.watch(m_prefix, m_revision, m_pace.watchTimeout);
        if (batch.isError()) {
            // The store no longer retains the changes since our revision; list again.
            if (batch.error().kind == ErrorKind::NotFound) {
                logStateChange("watch-history-lost", {{"prefix", m_prefix}});
                m_isListed = false;
                return;
            }
            handleFailure(batch.error());
            return;
        }
        handleSuccess();
        for (const auto &change : batch.value().changes)
            m_handler.onChange(change);
        m_revision = std::max(m_revision, batch.value().revision);
        if (!batch.value().changes.empty() && m_handler.onRevision)
            m_handler.onRevision(m_revision);
        const auto took = SteadyClock().now() - began;
        if (took < m_pace.minWatchInterval)
            m_pause(std::chrono::duration_cast<Milliseconds>(m_pace.minWatchInterval - took));
    }

    void handleFailure(const Error &error)
    {
        if (!m_isFailing) {
            m_isFailing = true;
            m_failingSince = SteadyClock().now();
            m_retryDelay = m_pace.initialRetryDelay;
            logStateChange("store-lost", {{"prefix", m_prefix}, {"reason", error.message}});
        }
        m_pause(m_retryDelay);
        m_retryDelay = std::min(2 * m_retryDelay, m_pace.maxRetryDelay);
    }

    void handleSuccess()
    {
        if (!m_isFailing)
            return;
        m_isFailing = false;
        const auto outage = SteadyClock().now() - m_failingSince;
        const auto outageMs = std::chrono::duration_cast<Milliseconds>(outage).count();
        logStateChange("store-back",
                       {{"prefix", m_prefix}, {"outageMs", std::to_string(outageMs)}});
        if (m_handler.onStoreRecovered)
            m_handler.onStoreRecovered(outage);
    }

    Store &m_store;
    const std::string m_prefix;
    const MirrorIntervals m_pace;
    const MirrorCallbacks m_handler;
    Pause m_pause;
    Version m_revision = noVersion;
    bool m_isListed = false;
    bool m_isFailing = false;
    TimePoint m_failingSince{};
    Milliseconds m_retryDelay{0};
};

} // namespace Radishplank

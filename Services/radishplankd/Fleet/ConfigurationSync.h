#pragma once

#include "Entry/EntryContext.h"

#include <functional>

namespace Radishplank {

struct SyncSettings
{
    NodeId node;
    ZoneName zone;
    /// Control addresses to contact for the configuration while no member is known.
    std::vector<Endpoint> seeds;
};

/// Synchronizes the configuration of this process with the store, directly or through its peers.
///
/// In each availability zone a few processes, chosen by rendezvous hashing, watch the store; the
/// others poll their peers. A process whose configuration becomes stale watches the store itself.
class ConfigurationSync
{
public:
    ConfigurationSync(EntryContext &context, SyncSettings settings, std::function<void()> onChange);

    void start();
    /// Handles an exchange request: returns the changes that the peer lacks.
    ExchangeResponse answer(const ExchangeRequest &request);
    /// Exchanges the known crashes with every other entry process, at once.
    void exchangeCrashes();
    /// Returns the time since the configuration of this process was known to match the store.
    [[nodiscard]] Milliseconds staleness() const;
    /// Returns whether this process watches the store instead of polling its peers.
    [[nodiscard]] bool isWatching() const { return m_isWatching; }
    /// Applies a change that this process has written itself and that a watch may never report.
    void applyOwnChange(const ObjectChange &change);
    /// Returns whether this process is disconnected from the store and from most of its peers.
    [[nodiscard]] bool isIsolated() const { return m_isIsolated; }
    /// Queries every known entry process for its revision.
    [[nodiscard]] boost::json::array memberRevisions();

private:
    void watchLoop();
    void exchangeLoop();
    /// Returns the entry processes of this zone by rank; the first ones watch the store.
    [[nodiscard]] std::vector<NodeMember> rankedZoneMembers() const;
    [[nodiscard]] bool isElectedWatcher() const;
    Result<void> listStore();
    Result<void> watchStore();
    Result<ExchangeResponse> exchangeWith(const Endpoint &peer);
    void compareDigests(const ExchangeResponse &answer);
    void noteExchange(bool hasSucceeded);
    [[nodiscard]] std::vector<NodeMember> peers() const;
    [[nodiscard]] std::optional<Endpoint> nextPeer();
    void noteSynchronized(TimePoint at);

    EntryContext &m_context;
    SyncSettings m_settings;
    std::function<void()> m_onChange;
    std::atomic<bool> m_isWatching{false};
    std::atomic<bool> m_hasListed{false};
    std::atomic<TimePoint> m_synchronizedAt;
    std::atomic<TimePoint> m_mismatchAt;
    std::atomic<TimePoint> m_listedAt{TimePoint()};
    /// One bit for each of the last exchanges, set on success; used by one fiber only.
    unsigned m_recentExchanges = ~0U;
    std::atomic<bool> m_isIsolated{false};
};

} // namespace Radishplank

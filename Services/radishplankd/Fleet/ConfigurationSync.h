#pragma once

#include "Entry/EntryContext.h"

#include <functional>

namespace Radishplank {

struct SyncSettings
{
    NodeId node;
    ZoneName zone;
    /// Control addresses asked for the configuration while no member is known.
    std::vector<Endpoint> seeds;
};

/// Keeps the configuration of this process in step with the store, or with its peers.
///
/// In each availability zone a few processes, chosen by rendezvous hashing, watch the store; the
/// others ask their peers. A process whose knowledge grows stale watches the store itself.
class ConfigurationSync
{
public:
    ConfigurationSync(EntryContext &context, SyncSettings settings, std::function<void()> onChange);

    void start();
    /// Answers a peer that asks for what it lacks.
    ExchangeResponse answer(const ExchangeRequest &request);
    /// Sends the known crashes to every other entry process at once.
    void announceCrashes();
    /// Returns how long ago this process was known to be in step with the store.
    [[nodiscard]] Milliseconds staleness() const;
    /// Tells whether this process watches the store, as against asking its peers.
    [[nodiscard]] bool isWatching() const { return m_isWatching; }
    /// Takes a change that this process has written itself, of which a watch may never tell.
    void takeOwnChange(const ObjectChange &change);
    /// Tells whether this process is cut off from the store and from most of its peers.
    [[nodiscard]] bool isIsolated() const { return m_isIsolated; }
    /// Asks every known entry process for its revision.
    [[nodiscard]] boost::json::array memberRevisions();

private:
    void watchLoop();
    void exchangeLoop();
    /// Returns the entry processes of this zone, those that watch the store first.
    [[nodiscard]] std::vector<NodeMember> zoneByRank() const;
    [[nodiscard]] bool isChosenWatcher() const;
    Result<void> listStore();
    Result<void> watchStore();
    Result<ExchangeResponse> exchangeWith(const Endpoint &peer);
    void compareWith(const ExchangeResponse &answer);
    void noteExchange(bool hasSucceeded);
    [[nodiscard]] std::vector<NodeMember> others() const;
    [[nodiscard]] std::optional<Endpoint> nextPeer();
    void noteFresh(TimePoint at);

    EntryContext &m_context;
    SyncSettings m_settings;
    std::function<void()> m_onChange;
    std::atomic<bool> m_isWatching{false};
    std::atomic<bool> m_hasListed{false};
    std::atomic<TimePoint> m_freshAt;
    std::atomic<TimePoint> m_mismatchAt;
    std::atomic<TimePoint> m_listedAt{TimePoint()};
    /// One bit for each of the last exchanges, set if it succeeded; used by one fiber.
    unsigned m_recentExchanges = ~0U;
    std::atomic<bool> m_isIsolated{false};
};

} // namespace Radishplank

#pragma once

#include <Catalogue/Catalogue.h>
#include <Gateway/PeerLoads.h>
#include <Gateway/PlaceChooser.h>
#include <Gateway/UpstreamInfo.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Radishplank {

/// Where this process stands; distances are counted from here.
struct Position
{
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> regions;

    [[nodiscard]] Distance distanceTo(const ZoneName &other) const;
};

/// How an attempt at an upstream ended, as far as it says something about the upstream.
enum class UpstreamVerdict {
    Sound,   ///< It has answered.
    Failed,  ///< It could not be reached, or broke off.
    Nothing, ///< The attempt was ended by us or by the caller.
};

/// The upstreams, what this process has sent to each, and what its peers say that they have.
/// Thread-safe; nothing in it waits.
class UpstreamTable
{
public:
    /// A place taken at an upstream; gives it back when it is destroyed.
    class Place
    {
    public:
        Place(UpstreamTable &table, UpstreamInfo upstream, WorkClass workClass,
              std::uint64_t number);
        ~Place();
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

        [[nodiscard]] const UpstreamInfo &upstream() const { return m_upstream; }
        /// Notes how the attempt has ended.
        void conclude(UpstreamVerdict verdict) { m_verdict = verdict; }
        /// Notes that the upstream has said in its answer that it is about to leave.
        void noteLeaving();
        /// Sets what stops the batch item that holds this place, and how much later the item could
        /// have started and still be in time.
        void onPreempt(std::function<void()> stop, Duration slack = Duration(0));

    private:
        friend class UpstreamTable;

        UpstreamTable &m_table;
        UpstreamInfo m_upstream;
        WorkClass m_workClass;
        std::uint64_t m_number;
        UpstreamVerdict m_verdict = UpstreamVerdict::Nothing;
    };
    using PlacePointer = std::unique_ptr<Place>;

    UpstreamTable(NodeId self, Position position);

    /// Adds an upstream or replaces what is known of it; returns whether that is news.
    bool put(const UpstreamInfo &upstream);
    void remove(const UpstreamId &id);
    [[nodiscard]] std::set<UpstreamId> ids() const;
    /// Notes that this start of an upstream is about to leave: it gets nothing more.
    void noteLeaving(const LeavingUpstream &leaving);
    /// Returns the upstreams of the table that are known to be about to leave.
    [[nodiscard]] std::vector<LeavingUpstream> leaving() const;

    /// Takes a place for an online call, and makes batch work of this process give way to it.
    /// Returns nothing if the wait for a slot would be longer than allowed.
    struct OnlineOffer
    {
        PlacePointer place;
        /// What the choice was based on; set if there is a place.
        PlaceView basis;
        bool hasPreempted = false;
        /// Time until a slot is expected; missing if there is no upstream.
        std::optional<Milliseconds> expectedWait;
    };
    OnlineOffer takeOnline(const std::string &service, const std::set<UpstreamId> &excluded,
                           Milliseconds longestWait);
    /// Takes a place for a batch item if a slot is free.
    PlacePointer takeBatch(const std::string &service);
    /// Returns how many of its waiting items of a service this process may start now; to be asked
    /// once in a turn.
    [[nodiscard]] std::size_t batchTurn(const std::string &service, WaitingItems waiting);

    /// Notes what a peer has at the upstreams, and what waits there; it counts until it is replaced
    /// or has grown old.
    void notePeerLoads(const NodeId &peer, std::span<const UpstreamStreams> loads,
                       std::span<const ServiceDemand> waiting, TimePoint now);
    [[nodiscard]] std::map<UpstreamId, UpstreamLoad> ownLoads() const;
    /// Stops batch items of this process at upstreams that hold more than their slots.
    void yieldOverfull();
    /// Called, outside the lock, when the loads of this process have changed.
    std::function<void()> onLoadChange;

private:
    struct BatchHolder
    {
        std::uint64_t number = 0;
        std::function<void()> stop;
        Duration slack{};
    };
    struct State
    {
        UpstreamInfo info;
        std::uint64_t hash = 0;
        UpstreamLoad own;
        std::vector<BatchHolder> batchHolders;
        unsigned failures = 0;
        TimePoint distrustedUntil{};
    };
    struct Candidates
    {
        std::vector<PlaceView> views;
        std::vector<State *> states;
    };

    [[nodiscard]] bool isLeaving(const State &state) const;
    [[nodiscard]] Candidates candidates(const std::string &service,
                                        const std::set<UpstreamId> &excluded, TimePoint now);
    void release(const Place &place);
    [[nodiscard]] std::function<void()> takeCheapestStop(State &state) const;

    const NodeId m_self;
    const Position m_position;
    mutable std::mutex m_mutex;
    std::map<UpstreamId, State> m_states;
    PeerLoads m_peers;
    /// By hash: the latest start that is known to leave, also while it is not in the table.
    std::map<std::uint64_t, std::int64_t> m_leaving;
    std::uint64_t m_nextNumber = 1;
};

} // namespace Radishplank

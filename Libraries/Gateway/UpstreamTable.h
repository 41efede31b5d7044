#pragma once

#include <Catalogue/Catalogue.h>
#include <Gateway/Locality.h>
#include <Gateway/PeerLoads.h>
#include <Gateway/UpstreamInfo.h>
#include <Gateway/UpstreamLimits.h>
#include <Gateway/UpstreamSelector.h>
#include <Serving/UpstreamPace.h>
#include <Serving/UpstreamSubset.h>
#include <Serving/WorkEstimator.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// What the outcome of an attempt says about the health of the upstream.
enum class UpstreamHealth {
    Healthy, ///< The upstream has answered.
    Failed,  ///< The upstream was unreachable, or its answer was interrupted.
    Unknown, ///< This process or the caller cancelled the attempt.
};

/// What upstreams are chosen by.
enum class PlacementRule {
    Count, ///< The number of streams.
    Work,  ///< The expected remaining work, and the pace of the upstream.
};

/// The known upstreams, the load that this process has placed on each, and the loads that its peers
/// report. Thread-safe; no operation waits.
class UpstreamTable
{
public:
    /// Counts one call or batch item against an upstream until it is destroyed.
    class Reservation
    {
    public:
        Reservation(UpstreamTable &table, UpstreamInfo upstream, WorkClass workClass,
                    std::uint64_t number, TimePoint beganAt);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        [[nodiscard]] const UpstreamInfo &upstream() const { return m_upstream; }
        /// Sets what the attempt has shown about the upstream.
        void reportHealth(UpstreamHealth health) { m_health = health; }
        /// Records that the upstream has announced its shutdown in an answer.
        void noteLeaving();
        /// Records how many requests per second an answer asks for, if it does.
        void noteRequestLimit(std::optional<double> perSecond, UpstreamLimits::AnswerKind answer);
        /// Sets the callback that stops the batch item, and the item's slack: how much later it
        /// could have started and still meet its deadline.
        void onPreempt(std::function<void()> stop, Duration slack = Duration(0));

        /// Records that the next events are awaited from now on. The time that passes between
        /// noteEvents() and this call is not the upstream's.
        void noteReading();
        /// Records that events have arrived.
        void noteEvents(std::size_t count);
        /// Records that a request which ran from beginning to end has been answered. Returns the
        /// ratio of its slot time to the estimate; nothing if there is no estimate.
        std::optional<double> noteCompleted();

    private:
        friend class UpstreamTable;

        /// What is known about the work of a reservation; guarded by the mutex of the table.
        struct Work
        {
            WorkFeatures features;
            WorkEstimate estimate;
            /// When the request got its slot, as far as known.
            TimePoint beganAt{};
            TimePoint lastEventAt{};
            std::size_t events = 0;
            /// Whether a slot was free when the request was sent.
            bool hadSlot = true;
        };

        UpstreamTable &m_table;
        UpstreamInfo m_upstream;
        WorkClass m_workClass;
        std::uint64_t m_number;
        const TimePoint m_reservedAt;
        UpstreamHealth m_health = UpstreamHealth::Unknown;
        Work m_work;
        /// When the next events were awaited; the maximum while none are awaited.
        std::atomic<TimePoint> m_readingSince;
    };
    using ReservationPointer = std::unique_ptr<Reservation>;

    UpstreamTable(NodeId self, Locality locality, PlacementRule placement = PlacementRule::Count);

    /// Adds or updates an upstream; returns whether this changed the table.
    bool put(const UpstreamInfo &upstream);
    void remove(const UpstreamId &id);
    [[nodiscard]] std::set<UpstreamId> ids() const;
    /// Records that this start of an upstream is shutting down, so that it gets no further work.
    void noteLeaving(const LeavingUpstream &leaving);
    /// Returns the upstreams of the table that are known to be shutting down.
    [[nodiscard]] std::vector<LeavingUpstream> leaving() const;

    /// Result of reserving an upstream for an online call. There is no reservation if the wait for
    /// a slot would be longer than allowed.
    struct OnlineAdmission
    {
        ReservationPointer reservation;
        /// The load on which the choice was based; set if there is a reservation.
        UpstreamCandidate basis;
        bool hasPreempted = false;
        /// Expected wait for a slot; missing if there is no upstream.
        std::optional<Milliseconds> expectedWait;
        /// Without a reservation: whether upstreams were left out because they limit their
        /// requests, and when the first of them takes the next one from this process.
        bool wasLimited = false;
        std::optional<Milliseconds> nextRequest;
        /// Whether a peer may grant a request to one of them at any moment.
        bool mayBeGranted = false;
        /// Whether the peers did not know yet that calls here need one.
        bool isFirstInNeed = false;
    };
    /// Reserves an upstream for an online call, and preempts a batch item of this process if the
    /// call needs its slot. The features matter only if upstreams are chosen by work.
    OnlineAdmission reserveOnline(const std::string &service, const std::set<UpstreamId> &excluded,
                                  Milliseconds maxWait, const WorkFeatures &features = {});
    /// Reserves an upstream for a batch item if a slot is free. `slack` tells how much later the
    /// item could start and still meet its deadline; like the features, it matters only if
    /// upstreams are chosen by work.
    ReservationPointer reserveBatch(const std::string &service, const WorkFeatures &features = {},
                                    Duration slack = Duration(0));
    /// Returns how many of its waiting items of a service this process may start in this scheduling
    /// round; to be called once per round.
    [[nodiscard]] std::size_t batchQuota(const std::string &service, WaitingItems waiting);

    /// Restricts the calls and items of this process to the upstreams of its cell, except where the
    /// cell has none that can be used. One cell stands for all upstreams.
    void restrictTo(CellPosition position, unsigned cells);
    /// Returns which process uses which upstreams; null if every process uses all.
    [[nodiscard]] std::shared_ptr<const UpstreamSubset> subset() const;

    /// Records a peer's loads at the upstreams and its waiting items. They count until the peer's
    /// next report, or until they expire.
    void notePeerLoads(const NodeId &peer, std::span<const UpstreamStreams> loads,
                       std::span<const ServiceDemand> waiting, TimePoint now);
    [[nodiscard]] std::map<UpstreamId, UpstreamLoad> ownLoads() const;
    /// Returns the loads of this process for a report, with the remaining work and the pace if
    /// upstreams are chosen by work.
    [[nodiscard]] std::vector<UpstreamStreams> loadsToReport() const;

    /// Sets the other entry processes that are alive, and the number of all; 0 if unknown. The
    /// rates of limited upstreams are divided among them.
    void setLimitMembers(std::span<const LimitMember> others, std::size_t processCount);
    /// Applies a peer's report about the limits of upstreams.
    void noteLimitReport(std::span<const UpstreamLimitReport> limits, TimePoint now);
    [[nodiscard]] std::vector<UpstreamLimitReport> limitsToReport() const;
    /// Grants requests to limited upstreams to peers that need them; to be called several times a
    /// second. Returns whether the peers must hear of it.
    bool serveRequestNeeds();
    /// Applies a peer's grants of requests.
    void noteGrants(std::span<const RequestGrant> grants, TimePoint now);
    [[nodiscard]] std::vector<RequestGrant> grantsToReport();
    /// Adds to a report for which services calls need the requests of limited upstreams.
    void describeLimitedCalls(std::vector<ServiceDemand> &demands) const;
    /// Returns the number of upstreams that limit their requests.
    [[nodiscard]] std::size_t limitedUpstreams() const;
    /// Called when an upstream becomes limited or is no longer, without the lock held.
    std::function<void()> onLimitChange;

    struct SlowUpstream
    {
        UpstreamId id;
        double pace = 1;
    };
    /// Returns the slowest upstreams, the slowest first, at most `count`.
    [[nodiscard]] std::vector<SlowUpstream> slowest(std::size_t count) const;
    [[nodiscard]] PlacementRule placement() const { return m_placement; }
    /// Returns the number of slots of all upstreams that take work.
    [[nodiscard]] unsigned slots() const;
    /// Preempts batch items of this process at upstreams that hold more work than they have slots.
    void preemptExcessBatch();
    /// Called when the loads or needs of this process have changed, without the lock held.
    std::function<void()> onLoadChange;

private:
    struct PreemptibleItem
    {
        std::uint64_t number = 0;
        std::function<void()> stop;
        Duration slack{};
    };
    struct State
    {
        UpstreamInfo info;
        std::uint64_t hash = 0;
        std::uint64_t serviceHash = 0;
        Distance distance = Distance::SameZone;
        UpstreamLoad own;
        /// Reservations of this process; only maintained if upstreams are chosen by work.
        std::vector<const Reservation *> running;
        bool isInSubset = true;
        std::vector<PreemptibleItem> preemptibleItems;
        unsigned failures = 0;
        TimePoint backoffUntil{};
        bool isSlow = false;
    };
    struct Candidates
    {
        std::vector<UpstreamCandidate> entries;
        std::vector<State *> states;
        /// Whether upstreams are left out because they limit their requests, and the shortest wait
        /// for one of them.
        bool wasLimited = false;
        Duration nextRequest = Duration::max();
        /// Whether a peer may grant a request to one of them at any moment.
        bool mayBeGranted = false;
    };

    [[nodiscard]] bool isLeaving(const State &state) const;
    [[nodiscard]] Candidates candidates(const std::string &service, WorkClass workClass,
                                        const std::set<UpstreamId> &excluded, TimePoint now);
    /// Adds pace and remaining work to the load of a candidate.
    void describeWork(UpstreamCandidate &candidate, const State &state, TimePoint now) const;
    [[nodiscard]] double paceOf(const State &state, unsigned runningStreams, TimePoint now) const;
    /// Returns what remains of the reservations of this process, in milliseconds at usual pace.
    [[nodiscard]] static UpstreamRemaining ownRemaining(const State &state, double pace,
                                                        TimePoint now);
    [[nodiscard]] unsigned runningStreams(const State &state) const;
    /// Logs when an upstream becomes slow and when it has recovered.
    void logPaceChange(State &state, TimePoint now) const;
    ReservationPointer reserve(State &state, WorkClass workClass, TimePoint now);
    void noteEvents(Reservation &reservation, std::size_t count);
    std::optional<double> noteCompleted(const Reservation &reservation);
    void appendCandidates(Candidates &result, const std::string &service, WorkClass workClass,
                          const std::set<UpstreamId> &excluded, bool isInSubset, TimePoint now);
    /// What this process has had to send to a service, and when that was last so.
    struct ServiceNeed
    {
        /// When an online call last needed a limited upstream.
        std::optional<TimePoint> limitedCallAt;
        std::optional<TimePoint> waitingItemsAt;
    };
    /// Notes that an online call needs a limited upstream; returns whether the peers must hear of
    /// it.
    bool noteLimitedCall(const std::string &service, TimePoint now);
    /// Returns what this process has to send to limited upstreams of a service. While calls need
    /// their requests, items leave all of them to calls.
    [[nodiscard]] RequestNeed needOf(std::uint64_t service, TimePoint now) const;
    [[nodiscard]] static UpstreamStart startOf(const State &state);
    /// Returns how many slots online calls can use, given the limit of the upstream.
    [[nodiscard]] unsigned usableSlots(const State &state) const;
    void noteRequestLimit(const Reservation &reservation, std::optional<double> perSecond,
                          UpstreamLimits::AnswerKind answer);
    void updateSubset(TimePoint now);
    void release(const Reservation &reservation);
    [[nodiscard]] std::function<void()> takeCheapestPreemption(State &state) const;

    const NodeId m_self;
    const Locality m_locality;
    const PlacementRule m_placement;
    mutable std::mutex m_mutex;
    std::map<UpstreamId, State> m_states;
    PeerLoads m_peers;
    WorkEstimator m_estimator;
    UpstreamPace m_pace;
    UpstreamLimits m_limits;
    /// By hash of the service.
    std::unordered_map<std::uint64_t, ServiceNeed> m_needs;
    CellPosition m_position = 0;
    unsigned m_cells = 1;
    std::shared_ptr<const UpstreamSubset> m_subset;
    bool m_isSubsetOutdated = false;
    TimePoint m_subsetUpdatedAt{};
    /// By hash of the upstream: the latest start known to be shutting down. Kept also while the
    /// upstream is not in the table.
    std::map<std::uint64_t, std::int64_t> m_leaving;
    std::uint64_t m_nextReservation = 1;
};

} // namespace Radishplank

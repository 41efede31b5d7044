#pragma once

#include "Entry/EntryContext.h"

#include <Batch/Batch.h>
#include <Placement/Placement.h>

#include <set>

namespace Radishplank {

struct PlacementSettings
{
    /// Time between two placement rounds.
    Milliseconds interval;
    Milliseconds lease;
    Milliseconds dwell;
    /// Minimum time between two model loads in the fleet; limits the load on the weight store.
    Milliseconds loadInterval;
    std::string secret;
};

/// Places models on engines that load models on request, while this process holds the placement
/// lease.
///
/// The current placement is read from the members and the demand from the entry processes, so a new
/// lease holder needs no state from its predecessor.
class PlacementController
{
public:
    PlacementController(EntryContext &context, PlacementSettings settings);

    void start();
    /// Stops placing models and releases the lease.
    void beginDrain();
    [[nodiscard]] boost::json::object state();

private:
    struct Engine
    {
        PlaceableEngine engine;
        Endpoint data;
    };
    /// Last demand counters received from one entry process.
    struct DemandSample
    {
        TimePoint at;
        std::map<std::string, PoolDemand> pools;
        /// Average slots in demand between the last two samples.
        std::map<std::string, double> slots;
    };
    struct DemandAnswers;
    enum class OrderResult { Accepted, Fenced, Failed };

    void run();
    void runRound();
    [[nodiscard]] std::vector<Engine> engines(TimePoint now);
    [[nodiscard]] bool isCandidate() const;
    bool renewOrClaimLease(const std::vector<Engine> &engines);
    void announceFencing(const std::vector<Engine> &engines);
    void collectDemand();
    void addSample(const NodeId &node, const std::vector<PoolDemand> &demand, TimePoint now);
    [[nodiscard]] std::vector<ModelDemand> fleetDemand() const;
    [[nodiscard]] std::set<std::string> catalogueModels() const;
    void placeNextModel(const std::vector<Engine> &engines);
    OrderResult sendOrder(const Endpoint &agent, const boost::json::object &order) const;

    EntryContext &m_context;
    PlacementSettings m_settings;
    std::atomic<bool> m_isDraining{false};
    LeaseObserver m_observer;
    std::mutex m_mutex;
    PlacementLease<HttpObjectStore> m_lease;
    PlacementPlanner m_planner;
    std::map<NodeId, DemandSample> m_samples;
    std::map<UpstreamId, TimePoint> m_failedAt;
    TimePoint m_movedAt{};
    Counter m_moves;
    std::atomic<bool> m_isHeld{false};
    std::atomic<std::int64_t> m_fencing{0};
};

} // namespace Radishplank

#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Radishplank {

/// Has the engine load the model that its agent was last ordered to serve.
///
/// A load goes on trying: the store of weights refuses loads that come too fast, and an engine that
/// has restarted has none. Safe from any thread.
class ModelLoader
{
public:
    struct Hooks
    {
        /// Ends or waits for everything that runs on the engine.
        std::function<void()> quiesce;
        /// Tells others what the engine serves from now on.
        std::function<void(const std::string &model)> announce;
    };

    /// Without models the engine serves whatever it has, and nothing is ever loaded.
    ModelLoader(Endpoint engine, std::vector<std::string> models);

    [[nodiscard]] bool isManaged() const { return !m_models.empty(); }
    [[nodiscard]] bool canLoad(const std::string &model) const;
    /// Tells whether an attempt for the pool may run on the engine now.
    [[nodiscard]] bool serves(const std::string &pool) const;
    [[nodiscard]] bool isLoading() const;
    [[nodiscard]] boost::json::object state() const;

    /// Takes an order, whose fencing number the caller has checked.
    void order(const std::string &model, std::int64_t fencing);
    /// Takes the engine's own report of what it has.
    void noteEngineModel(const std::string &model, TimePoint now);
    /// Loads what is ordered; never returns.
    void run(const Hooks &hooks);

private:
    enum class LoadResult { Done, Refused, TryAgain };
    struct Order
    {
        std::string model;
        std::int64_t fencing = 0;
    };

    bool takeWork(Order &order);
    void load(const Hooks &hooks, const Order &order);
    LoadResult sendOrder(const Order &order, Milliseconds &retryAfter);

    Endpoint m_engine;
    std::vector<std::string> m_models;
    mutable std::mutex m_mutex;
    Order m_wanted;
    /// Empty while nothing, or something else, is being loaded.
    std::string m_served;
    TimePoint m_servedAt{};
    bool m_isAnnounced = true;
    Counter m_loads;
    Counter m_failures;
};

} // namespace Radishplank

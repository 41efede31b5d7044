#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Radishplank {

/// Makes the engine load the model of the latest order.
///
/// Failed loads are retried: the weight store rejects loads that come too fast, and a restarted
/// engine has no model loaded. Safe to use from any thread.
class ModelLoader
{
public:
    struct Hooks
    {
        /// Preempts or waits for all attempts that run on the engine.
        std::function<void()> quiesce;
        /// Publishes the model that the engine now serves.
        std::function<void(const std::string &model)> announce;
    };

    /// If `models` is empty, the engine serves whatever it has and the loader never loads a model.
    ModelLoader(Endpoint engine, std::vector<std::string> models);

    [[nodiscard]] bool isManaged() const { return !m_models.empty(); }
    [[nodiscard]] bool canLoad(const std::string &model) const;
    /// Returns whether an attempt for the pool may run on the engine now.
    [[nodiscard]] bool serves(const std::string &pool) const;
    [[nodiscard]] bool isLoading() const;
    [[nodiscard]] boost::json::object state() const;

    /// Sets the model to load; the caller has checked the fencing number.
    void order(const std::string &model, std::int64_t fencing);
    /// Processes the engine's own report of its loaded model.
    void handleEngineModel(const std::string &model, TimePoint now);
    /// Loads ordered models; never returns.
    void run(const Hooks &hooks);

private:
    enum class LoadResult { Done, Refused, Retry };
    struct Order
    {
        std::string model;
        std::int64_t fencing = 0;
    };

    bool nextOrder(Order &order);
    void load(const Hooks &hooks, const Order &order);
    LoadResult sendOrder(const Order &order, Milliseconds &retryAfter);

    Endpoint m_engine;
    std::vector<std::string> m_models;
    mutable std::mutex m_mutex;
    Order m_latestOrder;
    /// Empty while the engine has no model, has one that was not ordered, or is loading one.
    std::string m_servedModel;
    TimePoint m_servedAt{};
    bool m_isAnnounced = true;
    Counter m_loads;
    Counter m_failures;
};

} // namespace Radishplank

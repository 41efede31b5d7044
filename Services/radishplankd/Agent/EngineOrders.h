#pragma once

#include "Agent/ModelLoader.h"

namespace Radishplank {

/// Handles the orders for one engine: `POST /orders` with a fencing number.
///
/// An order whose fencing number is lower than an earlier one comes from a process that no longer
/// holds the placement lease. The agent rejects it, because some engines ignore the number. Safe to
/// use from any fiber.
class EngineOrders
{
public:
    EngineOrders(const Endpoint &engine, std::vector<std::string> models);

    void handle(HttpExchange &exchange);
    /// Sets the fencing number read at startup; until then all orders are rejected.
    void initializeFencing(std::int64_t fencing);
    /// Processes the engine's load report, which names its loaded model.
    void handleEngineLoad(const HttpResponse &load, TimePoint now);

    [[nodiscard]] ModelLoader &loader() { return m_loader; }
    [[nodiscard]] std::int64_t highestFencing() const;
    [[nodiscard]] const Counter &refused() const { return m_refused; }

private:
    bool raiseFencing(std::int64_t fencing);
    void handleLoadOrder(HttpExchange &exchange, const std::string &model, std::int64_t fencing);
    void forwardOrder(HttpExchange &exchange, const std::string &order);

    Endpoint m_engine;
    ModelLoader m_loader;
    std::atomic<bool> m_isFencingInitialized{false};
    mutable std::mutex m_mutex;
    std::int64_t m_highestFencing = 0;
    Counter m_refused;
};

} // namespace Radishplank

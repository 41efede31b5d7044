#pragma once

#include "Agent/ModelLoader.h"

namespace Radishplank {

/// Takes the orders for one engine: `POST /orders` with a fencing number.
///
/// An order with a lower number than an earlier one comes from a holder of the placement that is
/// one no more, and is refused here, since some engines ignore the number. Safe from any fiber.
class EngineOrders
{
public:
    EngineOrders(const Endpoint &engine, std::vector<std::string> models);

    void handle(HttpExchange &exchange);
    /// Takes the fencing number known so far; orders are refused before that.
    void learnFencing(std::int64_t fencing);
    /// Takes the engine's report of its load, which tells the model that it has.
    void noteEngineLoad(const HttpResponse &load, TimePoint now);

    [[nodiscard]] ModelLoader &loader() { return m_loader; }
    [[nodiscard]] std::int64_t highestFencing() const;
    [[nodiscard]] const Counter &refused() const { return m_refused; }

private:
    bool raiseFencing(std::int64_t fencing);
    void takeLoadOrder(HttpExchange &exchange, const std::string &model, std::int64_t fencing);
    void passOn(HttpExchange &exchange, const std::string &order);

    Endpoint m_engine;
    ModelLoader m_loader;
    std::atomic<bool> m_knowsFencing{false};
    mutable std::mutex m_mutex;
    std::int64_t m_highestFencing = 0;
    Counter m_refused;
};

} // namespace Radishplank

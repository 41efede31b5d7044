#include "Agent/EngineOrders.h"

#include <algorithm>

namespace Radishplank {

EngineOrders::EngineOrders(const Endpoint &engine, std::vector<std::string> models)
    : m_engine(engine)
    , m_loader(engine, std::move(models))
{
}

void EngineOrders::handle(HttpExchange &exchange)
{
    const auto body = exchange.readBody();
    const auto order = parseJsonObject(body.isError() ? "" : body.value());
    if (order.isError()) {
        (void)exchange.respond({400, {}, order.error().message});
        return;
    }
    if (!m_isFencingInitialized) {
        (void)exchange.respond({503, {}, "this agent does not know the fencing number yet"});
        return;
    }
    const auto fencing = integerField(order.value(), "fencing", 0);
    if (!raiseFencing(fencing)) {
        m_refused.increase();
        (void)exchange.respond({409, {}, "the order's fencing number is old"});
        return;
    }
    const auto model = textField(order.value(), "load");
    if (model && m_loader.isManaged())
        handleLoadOrder(exchange, *model, fencing);
    else
        forwardOrder(exchange, body.value());
}

void EngineOrders::initializeFencing(std::int64_t fencing)
{
    (void)raiseFencing(fencing);
    m_isFencingInitialized = true;
}

void EngineOrders::handleEngineLoad(const HttpResponse &load, TimePoint now)
{
    const auto fields = parseJsonObject(load.body, DuplicateFields::LastWins);
    if (!fields.isError())
        m_loader.handleEngineModel(textField(fields.value(), "model").value_or(""), now);
}

std::int64_t EngineOrders::highestFencing() const
{
    const std::scoped_lock lock(m_mutex);
    return m_highestFencing;
}

bool EngineOrders::raiseFencing(std::int64_t fencing)
{
    const std::scoped_lock lock(m_mutex);
    if (fencing < m_highestFencing)
        return false;
    m_highestFencing = fencing;
    return true;
}

void EngineOrders::handleLoadOrder(HttpExchange &exchange, const std::string &model,
                                   std::int64_t fencing)
{
    if (!m_loader.canLoad(model)) {
        (void)exchange.respond({400, {}, "this engine does not load that model"});
        return;
    }
    m_loader.order(model, fencing);
    (void)exchange.respond({202, {}, "ordered"});
}

void EngineOrders::forwardOrder(HttpExchange &exchange, const std::string &order)
{
    const auto answer = HttpClient::fetch(m_engine, {"POST", "/orders", {}, order}, {});
    if (answer.isError()) {
        (void)exchange.respond({502, {}, answer.error().message});
        return;
    }
    (void)exchange.respond({answer.value().status, {}, answer.value().body});
}

} // namespace Radishplank

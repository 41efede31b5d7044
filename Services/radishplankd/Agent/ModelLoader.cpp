#include "Agent/ModelLoader.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <charconv>

namespace Radishplank {

namespace {

constexpr Milliseconds pollInterval{50};
constexpr Milliseconds loadTimeout{600'000};
constexpr Milliseconds retryInterval{1'000};
constexpr Milliseconds maxRetryInterval{60'000};
/// Engines report with a delay: a report received this soon after a load may predate the load.
constexpr Milliseconds engineReportLag{2'000};

Milliseconds parseRetryAfter(const HttpResponse &response)
{
    const auto text = response.headers.value("Retry-After");
    std::uint32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    const Milliseconds wait = std::chrono::seconds(seconds);
    return std::clamp(wait, retryInterval, maxRetryInterval);
}

} // namespace

ModelLoader::ModelLoader(Endpoint engine, std::vector<std::string> models)
    : m_engine(std::move(engine))
    , m_models(std::move(models))
{
}

bool ModelLoader::canLoad(const std::string &model) const
{
    return std::find(m_models.begin(), m_models.end(), model) != m_models.end();
}

bool ModelLoader::serves(const std::string &pool) const
{
    if (!isManaged())
        return true;
    const std::scoped_lock lock(m_mutex);
    return !m_servedModel.empty() && m_servedModel == pool;
}

bool ModelLoader::isLoading() const
{
    const std::scoped_lock lock(m_mutex);
    return isManaged() && m_servedModel.empty();
}

boost::json::object ModelLoader::state() const
{
    const std::scoped_lock lock(m_mutex);
    return {{"managed", !m_models.empty()},
            {"ordered", m_latestOrder.model},
            {"served", m_servedModel},
            {"loads", m_loads.value()},
            {"failedLoads", m_failures.value()}};
}

void ModelLoader::order(const std::string &model, std::int64_t fencing)
{
    const std::scoped_lock lock(m_mutex);
    m_latestOrder = {model, fencing};
}

void ModelLoader::handleEngineModel(const std::string &model, TimePoint now)
{
    if (!isManaged())
        return;
    const std::scoped_lock lock(m_mutex);
    const bool isInitialReport = m_latestOrder.model.empty() && m_servedModel.empty();
    if (isInitialReport && canLoad(model)) {
        m_latestOrder.model = model;
        m_servedModel = model;
        m_servedAt = now;
        m_isAnnounced = false;
        return;
    }
    const bool isStaleReport = now - m_servedAt < engineReportLag;
    if (!isStaleReport && !m_servedModel.empty() && model != m_servedModel)
        m_servedModel.clear();
}

void ModelLoader::run(const Hooks &hooks)
{
    while (true) {
        Order order;
        if (!nextOrder(order)) {
            boost::this_fiber::sleep_for(pollInterval);
            continue;
        }
        load(hooks, order);
    }
}

bool ModelLoader::nextOrder(Order &order)
{
    const std::scoped_lock lock(m_mutex);
    order = m_latestOrder;
    const bool isServed = m_latestOrder.model.empty() || m_latestOrder.model == m_servedModel;
    if (isServed && m_isAnnounced)
        return false;
    if (!isServed)
        m_servedModel.clear();
    return true;
}

void ModelLoader::load(const Hooks &hooks, const Order &order)
{
    if (!serves(order.model)) {
        hooks.quiesce();
        Milliseconds retryAfter{0};
        const auto result = sendOrder(order, retryAfter);
        if (result == LoadResult::Retry) {
            m_failures.increase();
            boost::this_fiber::sleep_for(retryAfter);
            return;
        }
        const std::scoped_lock lock(m_mutex);
        if (result == LoadResult::Refused) {
            // A newer holder of the placement lease has ordered another model without going through
            // this agent. The engine's next report names the model that it has.
            m_latestOrder = {};
            return;
        }
        m_loads.increase();
        m_servedModel = order.model;
        m_servedAt = SteadyClock().now();
    }
    logStateChange("model-served", {{"model", order.model}});
    hooks.announce(order.model);
    const std::scoped_lock lock(m_mutex);
    m_isAnnounced = true;
}

ModelLoader::LoadResult ModelLoader::sendOrder(const Order &order, Milliseconds &retryAfter)
{
    retryAfter = retryInterval;
    HttpCallOptions options;
    options.readTimeout = loadTimeout;
    options.reuse = ConnectionReuse::Forbidden;
    const boost::json::object body{{"fencing", order.fencing}, {"load", order.model}};
    const auto answer = HttpClient::fetch(
            m_engine, {"POST", "/orders", {}, boost::json::serialize(body)}, options);
    if (answer.isError())
        return LoadResult::Retry;
    constexpr unsigned conflict = 409;
    if (answer.value().status == conflict)
        return LoadResult::Refused;
    if (answer.value().status == 200)
        return LoadResult::Done;
    retryAfter = parseRetryAfter(answer.value());
    return LoadResult::Retry;
}

} // namespace Radishplank

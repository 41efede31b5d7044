#include "Agent/ModelLoader.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <charconv>

namespace Radishplank {

namespace {

constexpr Milliseconds pollInterval{50};
constexpr Milliseconds loadTimeout{600'000};
constexpr Milliseconds retryInterval{1'000};
constexpr Milliseconds longestRetryInterval{60'000};
/// Engines report late, so that what they report right after a load may be of before it.
constexpr Milliseconds reportLag{2'000};

Milliseconds retryAfterOf(const HttpResponse &response)
{
    const auto text = response.headers.value("Retry-After");
    std::uint32_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    const Milliseconds wait = std::chrono::seconds(seconds);
    return std::clamp(wait, retryInterval, longestRetryInterval);
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
    return !m_served.empty() && m_served == pool;
}

bool ModelLoader::isLoading() const
{
    const std::scoped_lock lock(m_mutex);
    return isManaged() && m_served.empty();
}

boost::json::object ModelLoader::state() const
{
    const std::scoped_lock lock(m_mutex);
    return {{"managed", !m_models.empty()},
            {"ordered", m_wanted.model},
            {"served", m_served},
            {"loads", m_loads.value()},
            {"failedLoads", m_failures.value()}};
}

void ModelLoader::order(const std::string &model, std::int64_t fencing)
{
    const std::scoped_lock lock(m_mutex);
    m_wanted = {model, fencing};
}

void ModelLoader::noteEngineModel(const std::string &model, TimePoint now)
{
    if (!isManaged())
        return;
    const std::scoped_lock lock(m_mutex);
    const bool isStartOfAgent = m_wanted.model.empty() && m_served.empty();
    if (isStartOfAgent && canLoad(model)) {
        m_wanted.model = model;
        m_served = model;
        m_servedAt = now;
        m_isAnnounced = false;
        return;
    }
    const bool isLate = now - m_servedAt < reportLag;
    if (!isLate && !m_served.empty() && model != m_served)
        m_served.clear();
}

void ModelLoader::run(const Hooks &hooks)
{
    while (true) {
        Order order;
        if (!takeWork(order)) {
            boost::this_fiber::sleep_for(pollInterval);
            continue;
        }
        load(hooks, order);
    }
}

bool ModelLoader::takeWork(Order &order)
{
    const std::scoped_lock lock(m_mutex);
    order = m_wanted;
    const bool isInPlace = m_wanted.model.empty() || m_wanted.model == m_served;
    if (isInPlace && m_isAnnounced)
        return false;
    if (!isInPlace)
        m_served.clear();
    return true;
}

void ModelLoader::load(const Hooks &hooks, const Order &order)
{
    if (!serves(order.model)) {
        hooks.quiesce();
        Milliseconds retryAfter{0};
        const auto result = sendOrder(order, retryAfter);
        if (result == LoadResult::TryAgain) {
            m_failures.increase();
            boost::this_fiber::sleep_for(retryAfter);
            return;
        }
        const std::scoped_lock lock(m_mutex);
        if (result == LoadResult::Refused) {
            // A newer holder has ordered something else past this agent; the engine's own report
            // tells what it has.
            m_wanted = {};
            return;
        }
        m_loads.increase();
        m_served = order.model;
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
        return LoadResult::TryAgain;
    constexpr unsigned conflict = 409;
    if (answer.value().status == conflict)
        return LoadResult::Refused;
    if (answer.value().status == 200)
        return LoadResult::Done;
    retryAfter = retryAfterOf(answer.value());
    return LoadResult::TryAgain;
}

} // namespace Radishplank

#include "FakeStore.h"

#include <boost/fiber/operations.hpp>
#include <charconv>

namespace Radishplank::Test {

namespace json = boost::json;

namespace {

constexpr std::string_view objectsPrefix = "/-/objects/";
constexpr Milliseconds watchPollInterval{5};
/// Longer than the timeout of any caller.
constexpr Milliseconds unresponsiveTime{60'000};

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpResponse jsonResponse(unsigned status, const json::value &body)
{
    return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

json::object bodyObject(const std::string &body)
{
    return body.empty() ? json::object() : json::parse(body).as_object();
}

std::optional<std::uint64_t> expectedRevision(const json::object &body)
{
    const auto *metadata = body.if_contains("metadata");
    const auto *revision
            = metadata == nullptr ? nullptr : metadata->as_object().if_contains("revision");
    if (revision == nullptr)
        return {};
    return revision->to_number<std::uint64_t>();
}

} // namespace

FakeStore::FakeStore(const Endpoint &listen)
    : m_threads(*new FiberThreads(1)) // Leaked: its fibers run until the process exits.
    , m_server(HttpServer::listen(m_threads, listen, {}, [this](HttpExchange &exchange) {
                   handle(exchange);
               }).takeValue())
{
}

void FakeStore::setBehaviour(StoreBehaviour behaviour)
{
    if (behaviour == StoreBehaviour::Unresponsive)
        m_outages += 1;
    m_behaviour = behaviour;
}

void FakeStore::write(const std::string &kind, const std::string &name, json::value spec)
{
    const std::scoped_lock lock(m_mutex);
    put(kind, name, std::move(spec));
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    m_revision += 1;
    recordEvent(kind, name, true);
    m_kinds[kind].erase(name);
}

json::value FakeStore::status(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    return m_kinds[kind][name].status;
}

std::size_t FakeStore::count(const std::string &kind)
{
    const std::scoped_lock lock(m_mutex);
    return m_kinds[kind].size();
}

void FakeStore::dropHistory()
{
    const std::scoped_lock lock(m_mutex);
    m_events.clear();
    m_historyBegin = m_revision + 1;
    m_revision += 1;
}

void FakeStore::delayWrites(const std::string &kind, Milliseconds delay)
{
    const std::scoped_lock lock(m_mutex);
    m_delayedKind = kind;
    m_writeDelay = delay;
}

Milliseconds FakeStore::delayOf(const HttpRequest &request)
{
    const std::scoped_lock lock(m_mutex);
    const bool isDelayed
            = !m_delayedKind.empty() && request.method != "GET"
              && request.target.starts_with(std::string(objectsPrefix) + m_delayedKind);
    return isDelayed ? m_writeDelay : Milliseconds(0);
}

void FakeStore::put(const std::string &kind, const std::string &name, json::value spec)
{
    auto &object = m_kinds[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return;
    m_revision += 1;
    if (object.createRevision == 0)
        object.createRevision = m_revision;
    object.revision = m_revision;
    object.spec = std::move(spec);
    recordEvent(kind, name, false);
}

void FakeStore::recordEvent(const std::string &kind, const std::string &name, bool isDeleted)
{
    m_events.push_back({kind, m_revision, isDeleted, toJson(name, m_kinds[kind][name])});
}

json::object FakeStore::toJson(const std::string &name, const Object &object)
{
    return {{"metadata", json::object{{"name", name},
                                      {"revision", object.revision},
                                      {"create_revision", object.createRevision},
                                      {"finalizers", json::array{}},
                                      {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

void FakeStore::handle(HttpExchange &exchange)
{
    m_calls += 1;
    const auto body = exchange.readBody();
    const bool isWrite = exchange.request().method != "GET";
    const auto behaviour = m_behaviour.load();
    const auto outages = m_outages.load();
    if (behaviour == StoreBehaviour::Refusing) {
        (void)exchange.respond({503, {}, ""});
        return;
    }
    if (behaviour == StoreBehaviour::Unresponsive) {
        boost::this_fiber::sleep_for(unresponsiveTime);
        exchange.abandon();
        return;
    }
    const auto delay = delayOf(exchange.request());
    if (delay > Milliseconds(0)) {
        boost::this_fiber::sleep_for(delay);
        (void)handleRequest(exchange.request(), body.isError() ? "" : body.value());
        return exchange.abandon();
    }
    auto response = handleRequest(exchange.request(), body.isError() ? "" : body.value());
    const bool isLost = m_outages != outages;
    if (isLost || (behaviour == StoreBehaviour::DroppingWriteResponses && isWrite)) {
        boost::this_fiber::sleep_for(unresponsiveTime);
        exchange.abandon();
        return;
    }
    (void)exchange.respond(std::move(response));
}

HttpResponse FakeStore::handleRequest(const HttpRequest &request, const std::string &body)
{
    const auto target = HttpTarget::parse(request.target);
    if (!target.path.starts_with(objectsPrefix))
        return {404, {}, ""};
    const auto rest = target.path.substr(objectsPrefix.size());
    const auto slash = rest.find('/');
    const auto kind = percentDecode(rest.substr(0, slash));
    auto name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string statusSuffix = "/status";
    const bool isStatus = name.ends_with(statusSuffix);
    if (isStatus)
        name.resize(name.size() - statusSuffix.size());
    name = percentDecode(name);
    if (request.method == "GET" && name.empty())
        return target.parameter("watch").empty() ? list(kind, target) : watch(kind, target);
    const std::scoped_lock lock(m_mutex);
    if (request.method == "POST")
        return create(kind, bodyObject(body));
    if (!m_kinds[kind].contains(name))
        return {404, {}, ""};
    if (request.method == "GET")
        return jsonResponse(200, toJson(name, m_kinds[kind][name]));
    if (request.method == "PUT")
        return replace(kind, name, bodyObject(body), isStatus);
    return destroy(kind, name, target);
}

HttpResponse FakeStore::list(const std::string &kind, const HttpTarget &target)
{
    constexpr std::size_t pageSize = 3; // Small, so that tests cover several pages.
    const std::scoped_lock lock(m_mutex);
    json::array items;
    const auto &objects = m_kinds[kind];
    auto next = objects.upper_bound(target.parameter("after"));
    for (; next != objects.end() && items.size() < pageSize; ++next)
        items.push_back(toJson(next->first, next->second));
    return jsonResponse(200, json::object{{"items", std::move(items)},
                                          {"more", next != objects.end()},
                                          {"current_rev", m_revision}});
}

HttpResponse FakeStore::watch(const std::string &kind, const HttpTarget &target)
{
    const auto since = parseNumber(target.parameter("watch"));
    const auto until
            = SteadyClock().now()
              + Milliseconds(static_cast<long long>(parseNumber(target.parameter("wait_ms"))));
    while (true) {
        {
            const std::scoped_lock lock(m_mutex);
            if (since < m_historyBegin)
                return {410, {}, ""};
            json::array events;
            for (const auto &event : m_events) {
                if (event.kind == kind && event.revision > since)
                    events.push_back(
                            json::object{{"deleted", event.isDeleted}, {"object", event.object}});
            }
            if (!events.empty() || SteadyClock().now() >= until
                || m_behaviour != StoreBehaviour::Normal) {
                return jsonResponse(200, json::object{{"events", std::move(events)},
                                                      {"current_rev", m_revision}});
            }
        }
        boost::this_fiber::sleep_for(watchPollInterval);
    }
}

HttpResponse FakeStore::create(const std::string &kind, const json::object &body)
{
    const std::string name(body.at("metadata").as_object().at("name").as_string());
    if (m_kinds[kind].contains(name))
        return jsonResponse(409, toJson(name, m_kinds[kind][name]));
    if (json::serialize(body.at("spec")).size() > m_maxValueBytes)
        return {413, {}, ""};
    put(kind, name, body.at("spec"));
    return jsonResponse(200, toJson(name, m_kinds[kind][name]));
}

HttpResponse FakeStore::replace(const std::string &kind, const std::string &name,
                                const json::object &body, bool isStatus)
{
    auto &object = m_kinds[kind][name];
    const auto expected = expectedRevision(body);
    if (expected && *expected != object.revision)
        return jsonResponse(409, toJson(name, object));
    if (!isStatus) {
        put(kind, name, body.at("spec"));
        return jsonResponse(200, toJson(name, object));
    }
    m_revision += 1;
    object.revision = m_revision;
    object.status = body.at("status");
    recordEvent(kind, name, false);
    return jsonResponse(200, toJson(name, object));
}

HttpResponse FakeStore::destroy(const std::string &kind, const std::string &name,
                                const HttpTarget &target)
{
    const auto &object = m_kinds[kind][name];
    const auto expected = target.parameter("revision");
    if (!expected.empty() && parseNumber(expected) != object.revision)
        return jsonResponse(409, toJson(name, object));
    m_revision += 1;
    recordEvent(kind, name, true);
    m_kinds[kind].erase(name);
    return {200, {}, ""};
}

} // namespace Radishplank::Test

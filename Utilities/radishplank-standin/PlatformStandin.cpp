#include "PlatformStandin.h"

#include <Core/Core.h>

#include <boost/fiber/operations.hpp>
#include <charconv>

namespace Radishplank {

namespace {

constexpr std::string_view objectPrefix = "/objects/";
constexpr std::string_view vmPrefix = "/vms/";
constexpr std::string_view weightPrefix = "/weights/";

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

HttpResponse json(const boost::json::value &value)
{
    return {200, {{"Content-Type", "application/json"}}, boost::json::serialize(value)};
}

HttpResponse failure(const Error &error)
{
    unsigned status = 500;
    if (error.kind == ErrorKind::NotFound)
        status = 404;
    else if (error.kind == ErrorKind::Conflict)
        status = 409;
    else if (error.kind == ErrorKind::TooLarge)
        status = 413;
    else if (error.kind == ErrorKind::InvalidInput)
        status = 400;
    return {status, {}, error.message};
}

boost::json::object describe(const StoredObject &object)
{
    return {{"key", object.key}, {"value", object.value}, {"version", object.version}};
}

} // namespace

void PlatformStandin::handle(HttpExchange &exchange)
{
    const auto target = HttpTarget::parse(exchange.request().target);
    if (target.path == "/switches") {
        (void)exchange.respond(changeSwitches(exchange));
        return;
    }
    if (target.path == "/counts") {
        (void)exchange.respond(showCounts());
        return;
    }
    if (target.path.starts_with(weightPrefix)) {
        (void)exchange.respond(serveWeights());
        return;
    }
    if (m_switches.delayMilliseconds > 0)
        boost::this_fiber::sleep_for(Milliseconds(m_switches.delayMilliseconds));
    if (m_switches.isUnavailable) {
        (void)exchange.respond({503, {}, "outage"});
        return;
    }
    auto response = answer(exchange, target);
    const bool isWrite = exchange.request().method != "GET";
    if (isWrite && response.status == 200 && consumeDroppedResponse())
        response = {504, {}, "the answer was lost"};
    (void)exchange.respond(std::move(response));
}

HttpResponse PlatformStandin::answer(HttpExchange &exchange, const HttpTarget &target)
{
    if (target.path.starts_with(objectPrefix))
        return answerObject(exchange, percentDecode(target.path.substr(objectPrefix.size())));
    if (target.path == "/objects")
        return answerList(target);
    if (target.path == "/watch")
        return answerWatch(target);
    if (target.path.starts_with(vmPrefix))
        return changeVm(exchange, target.path.substr(vmPrefix.size()));
    if (target.path == "/vms")
        return listVms();
    return {404, {}, "no such path"};
}

HttpResponse PlatformStandin::answerObject(HttpExchange &exchange, const std::string &key)
{
    const auto &request = exchange.request();
    const Version expected = parseNumber(request.headers.value("If-Version"));
    if (request.method == "GET") {
        m_reads.increase();
        auto object = m_store.get(key);
        if (object.isError())
            return failure(object.error());
        return {200, {{"Version", std::to_string(object.value().version)}}, object.value().value};
    }
    m_writes.increase();
    if (request.method == "DELETE") {
        const auto removed = m_store.remove(key, expected);
        notifyWatchers();
        return removed.isError() ? failure(removed.error()) : HttpResponse{};
    }
    auto body = exchange.readBody();
    if (body.isError())
        return failure(body.error());
    const auto written = m_store.put(key, body.takeValue(), expected);
    notifyWatchers();
    if (written.isError())
        return failure(written.error());
    return {200, {{"Version", std::to_string(written.value())}}, ""};
}

HttpResponse PlatformStandin::answerList(const HttpTarget &target)
{
    m_reads.increase();
    const auto content = target.parameter("values") == "true" ? ListContent::KeysAndValues
                                                              : ListContent::KeysOnly;
    auto page = m_store.list(target.parameter("prefix"), target.parameter("after"), content);
    if (page.isError())
        return failure(page.error());
    boost::json::array objects;
    for (const auto &object : page.value().objects)
        objects.push_back(describe(object));
    return json({{"objects", std::move(objects)},
                 {"revision", page.value().revision},
                 {"last", page.value().isLast}});
}

HttpResponse PlatformStandin::answerWatch(const HttpTarget &target)
{
    m_watches.increase();
    const auto prefix = target.parameter("prefix");
    const auto since = parseNumber(target.parameter("since"));
    const auto until = SteadyClock().now() + Milliseconds(parseNumber(target.parameter("wait")));
    auto batch = m_store.watch(prefix, since, Milliseconds(0));
    while (!batch.isError() && batch.value().changes.empty() && SteadyClock().now() < until) {
        {
            std::unique_lock lock(m_mutex);
            const auto revision = batch.value().revision;
            m_changed.wait_until(lock, until, [&] { return m_store.revision() != revision; });
        }
        batch = m_store.watch(prefix, since, Milliseconds(0));
    }
    if (m_switches.isUnavailable)
        return {503, {}, "outage"};
    if (batch.isError())
        return failure(batch.error());
    if (m_switches.dropsWatchChanges)
        batch.value().changes.clear();
    boost::json::array changes;
    for (const auto &change : batch.value().changes) {
        auto described = describe(change.object);
        described["removed"] = change.isRemoval;
        changes.push_back(std::move(described));
    }
    return json({{"changes", std::move(changes)}, {"revision", batch.value().revision}});
}

HttpResponse PlatformStandin::changeSwitches(HttpExchange &exchange)
{
    auto body = exchange.readBody();
    if (body.isError())
        return failure(body.error());
    const auto parsed = parseJsonObject(body.value());
    if (parsed.isError())
        return failure(parsed.error());
    Findings findings;
    JsonReader reader(parsed.value(), "switches", findings);
    reader.rejectUnknownFields(
            {"outage", "delayMs", "loseAnswers", "loseWatches", "vmLagMs", "weightIntervalMs"});
    constexpr std::int64_t maxValue = 1'000'000;
    Switches switches = m_switches;
    switches.isUnavailable = reader.boolean("outage", switches.isUnavailable);
    switches.delayMilliseconds = reader.integer("delayMs", switches.delayMilliseconds, 0, maxValue);
    switches.responsesToDrop = reader.integer("loseAnswers", switches.responsesToDrop, 0, maxValue);
    switches.dropsWatchChanges = reader.boolean("loseWatches", switches.dropsWatchChanges);
    switches.vmListLagMilliseconds
            = reader.integer("vmLagMs", switches.vmListLagMilliseconds, 0, maxValue);
    switches.weightIntervalMilliseconds
            = reader.integer("weightIntervalMs", switches.weightIntervalMilliseconds, 0, maxValue);
    if (!findings.isEmpty())
        return failure(findings.toError());
    m_switches = switches;
    notifyWatchers();
    return {};
}

HttpResponse PlatformStandin::changeVm(HttpExchange &exchange, const std::string &vm)
{
    auto body = exchange.readBody();
    if (body.isError())
        return failure(body.error());
    const std::scoped_lock lock(m_mutex);
    m_vmChanges.push_back({vm, body.takeValue(), SteadyClock().now()});
    return {};
}

HttpResponse PlatformStandin::listVms()
{
    m_reads.increase();
    const std::scoped_lock lock(m_mutex);
    const auto visible = SteadyClock().now() - Milliseconds(m_switches.vmListLagMilliseconds);
    boost::json::object states;
    for (const auto &change : m_vmChanges) {
        if (change.at <= visible)
            states[change.vm] = change.state;
    }
    return json(std::move(states));
}

HttpResponse PlatformStandin::serveWeights()
{
    const std::scoped_lock lock(m_mutex);
    const auto now = SteadyClock().now();
    if (now - m_lastServedWeightsAt < Milliseconds(m_switches.weightIntervalMilliseconds)) {
        m_weightsRefused.increase();
        return {429, {{"Retry-After", "1"}}, "too many loads"};
    }
    m_lastServedWeightsAt = now;
    m_weightsServed.increase();
    return {200, {}, "weights"};
}

HttpResponse PlatformStandin::showCounts()
{
    return json({{"reads", m_reads.value()},
                 {"writes", m_writes.value()},
                 {"watches", m_watches.value()},
                 {"weights", m_weightsServed.value()},
                 {"weightsRefused", m_weightsRefused.value()}});
}

bool PlatformStandin::consumeDroppedResponse()
{
    const std::scoped_lock lock(m_mutex);
    if (m_switches.responsesToDrop == 0)
        return false;
    m_switches.responsesToDrop -= 1;
    return true;
}

void PlatformStandin::notifyWatchers()
{
    {
        // Locked so that no watcher misses the change between its check and its wait.
        const std::scoped_lock lock(m_mutex);
    }
    m_changed.notify_all();
}

} // namespace Radishplank

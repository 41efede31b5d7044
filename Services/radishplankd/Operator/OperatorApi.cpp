#include "Operator/OperatorApi.h"

#include "Entry/ApiAnswer.h"

#include <Net/MemoryBudget.h>

#include <boost/fiber/operations.hpp>
#include <charconv>

namespace Radishplank {

namespace {

constexpr std::string_view catalogueRoot = "/catalogue/";
constexpr std::string_view prometheusType = "text/plain; version=0.0.4";
constexpr Milliseconds storeRetryTimeout{2'000};

std::optional<Version> expectedVersion(const HttpRequest &request)
{
    const auto text = request.headers.value("If-Version");
    Version version = noVersion;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return {};
    return version;
}

bool isCatalogueKey(std::string_view key)
{
    return key.starts_with(ownerPrefix) || key.starts_with(entryPrefix);
}

boost::json::object storedObjectToJson(const StoredObject &object)
{
    // Without the key prefix of the store.
    const auto name = object.key.substr(configurationPrefix.size());
    const auto value = parseJsonObject(object.value);
    return {{"key", name},
            {"version", object.version},
            {"value", value.isError() ? boost::json::value(object.value)
                                      : boost::json::value(value.value())}};
}

} // namespace

bool hasBearerToken(const HttpRequest &request, const std::string &digest)
{
    constexpr std::string_view prefix = "Bearer ";
    const auto authorization = request.headers.value("Authorization");
    return authorization.starts_with(prefix)
           && sha256Hex(std::string_view(authorization).substr(prefix.size())) == digest;
}

OperatorApi::OperatorApi(EntryContext &context, ConfigurationSync &sync, BatchScheduler &batch,
                         PlacementController &placement, const std::string &token)
    : m_context(context)
    , m_sync(sync)
    , m_batch(batch)
    , m_placement(placement)
    , m_tokenDigest(sha256Hex(token))
{
}

void OperatorApi::handle(HttpExchange &exchange)
{
    const auto &request = exchange.request();
    const auto target = HttpTarget::parse(request.target);
    if (target.path == "/healthz") {
        (void)exchange.respond({200, {}, "ok\n"});
    } else if (target.path == "/readyz") {
        showReadiness(exchange);
    } else if (target.path == "/metrics") {
        showMetrics(exchange);
    } else if (!hasBearerToken(request, m_tokenDigest)) {
        respondError(exchange, 401, Outcome::NotRun, "unauthorized",
                     "the operators' bearer token is required");
    } else if (target.path == "/state") {
        showState(exchange);
    } else if (target.path == "/catalogue-status") {
        respondJson(exchange, 200, boost::json::object{{"members", m_sync.memberRevisions()}});
    } else if (target.path == "/catalogue") {
        listCatalogue(exchange);
    } else if (target.path.starts_with(catalogueRoot)) {
        handleCatalogue(exchange, target.path.substr(catalogueRoot.size()));
    } else {
        respondError(exchange, 404, Outcome::NotRun, "not_found", "no such path");
    }
}

void OperatorApi::handleCatalogue(HttpExchange &exchange, const std::string &name)
{
    const auto key = std::string(configurationPrefix) + percentDecode(name);
    const auto &method = exchange.request().method;
    if (!isCatalogueKey(key)) {
        respondError(exchange, 404, Outcome::NotRun, "not_found",
                     "expected owners/OWNER or entries/OWNER/ENTRY");
        return;
    }
    if (method == "GET")
        getObject(exchange, key);
    else if (method == "PUT")
        putObject(exchange, key);
    else if (method == "DELETE")
        deleteObject(exchange, key);
    else
        respondError(exchange, 405, Outcome::NotRun, "wrong_method", "no such method here");
}

void OperatorApi::listCatalogue(HttpExchange &exchange)
{
    const auto listing = listAll(m_context.store, configurationPrefix, ListContent::KeysAndValues);
    if (listing.isError()) {
        respondError(exchange, listing.error());
        return;
    }
    boost::json::array objects;
    for (const auto &object : listing.value().objects) {
        if (isCatalogueKey(object.key))
            objects.push_back(storedObjectToJson(object));
    }
    respondJson(exchange, 200, boost::json::object{{"objects", std::move(objects)}});
}

void OperatorApi::getObject(HttpExchange &exchange, const std::string &key)
{
    const auto object = m_context.store.get(key);
    if (object.isError()) {
        respondError(exchange, object.error());
        return;
    }
    respondJson(exchange, 200, storedObjectToJson(object.value()));
}

void OperatorApi::putObject(HttpExchange &exchange, const std::string &key)
{
    const auto body = exchange.readBody();
    if (body.isError()) {
        respondError(exchange, body.error());
        return;
    }
    const auto expected = expectedVersion(exchange.request());
    auto findings = checkConfigurationObject(key, body.value());
    if (!expected)
        findings.add("If-Version", "is required: the version read, or 0 for a new object");
    if (!findings.isEmpty()) {
        respondError(exchange, findings.toError());
        return;
    }
    // putConfirmed() requires a unique value to recover a lost response. A catalogue object need
    // not be unique: two operators who write the same text over the same version want the same
    // result.
    const auto retryDeadline = SteadyClock().now() + storeRetryTimeout;
    const auto written = putConfirmed(
            m_context.store, key, body.value(), *expected,
            [](Milliseconds wait) { boost::this_fiber::sleep_for(wait); },
            [retryDeadline] { return SteadyClock().now() < retryDeadline; });
    if (written.isError()) {
        respondError(exchange, written.error());
        return;
    }
    m_sync.applyOwnChange({{key, body.value(), written.value()}, false});
    logStateChange("catalogue-changed",
                   {{"key", key}, {"version", std::to_string(written.value())}});
    respondJson(exchange, 200, boost::json::object{{"version", written.value()}});
}

void OperatorApi::deleteObject(HttpExchange &exchange, const std::string &key)
{
    const auto expected = expectedVersion(exchange.request());
    if (!expected) {
        respondError(exchange, 400, Outcome::NotRun, "invalid_request",
                     "If-Version: is required: the version read");
        return;
    }
    const auto removed = m_context.store.remove(key, *expected);
    if (removed.isError()) {
        respondError(exchange, removed.error());
        return;
    }
    logStateChange("catalogue-changed", {{"key", key}, {"removed", "true"}});
    respondJson(exchange, 200, boost::json::object{{"removed", true}});
}

void OperatorApi::showState(HttpExchange &exchange)
{
    const auto now = SteadyClock().now();
    boost::json::array quarantined;
    for (const auto &notice : m_context.quarantine.notices(now))
        quarantined.push_back(boost::json::object{{"fingerprint", notice.fingerprint},
                                                  {"attempt", notice.attempt.text()},
                                                  {"ageMs", notice.age.count()}});
    boost::json::array members;
    m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        for (const auto &node : catalogue.nodes())
            members.push_back(boost::json::object{{"node", node.id.text()},
                                                  {"zone", node.zone.text()},
                                                  {"control", node.control.text()}});
    });
    respondJson(exchange, 200,
                boost::json::object{{"role", "entry"},
                                    {"node", m_context.node.text()},
                                    {"draining", m_isDraining.load()},
                                    {"configurationRevision", m_context.configuration.revision()},
                                    {"configurationStalenessMs", m_sync.staleness().count()},
                                    {"watchesStore", m_sync.isWatching()},
                                    {"isolated", m_sync.isIsolated()},
                                    {"members", std::move(members)},
                                    {"upstreams", m_context.fleet.state()},
                                    {"limits", m_context.limits.state(now)},
                                    {"retryBudget", m_context.retryBudget.available()},
                                    {"usage", m_context.usage.state()},
                                    {"crashes", std::move(quarantined)},
                                    {"batch", m_batch.state()},
                                    {"placement", m_placement.state()}});
}

void OperatorApi::showMetrics(HttpExchange &exchange)
{
    const auto &metrics = m_context.metrics;
    std::string text;
    renderCounter(text, "radishplank_requests_total", metrics.requests);
    renderCounter(text, "radishplank_requests_refused_total", metrics.refused);
    renderCounter(text, "radishplank_retries_total", metrics.retries);
    renderCounter(text, "radishplank_streams_resumed_total", metrics.resumed);
    renderCounter(text, "radishplank_reattached_total", m_context.attempts.reattached());
    renderCounter(text, "radishplank_bytes_same_zone_total",
                  m_context.attempts.bytes(Distance::SameZone));
    renderCounter(text, "radishplank_bytes_same_region_total",
                  m_context.attempts.bytes(Distance::SameRegion));
    renderCounter(text, "radishplank_bytes_other_region_total",
                  m_context.attempts.bytes(Distance::OtherRegion));
    renderCounter(text, "radishplank_unknown_outcomes_total", metrics.unknownOutcomes);
    renderCounter(text, "radishplank_upstream_crashes_total", metrics.crashes);
    renderCounter(text, "radishplank_items_completed_total", metrics.itemsCompleted);
    renderCounter(text, "radishplank_items_failed_total", metrics.itemsFailed);
    renderCounter(text, "radishplank_items_preempted_total", metrics.itemsPreempted);
    renderCounter(text, "radishplank_shards_claimed_total", metrics.shardsClaimed);
    renderCounter(text, "radishplank_shards_lost_total", metrics.shardsLost);
    renderCounter(text, "radishplank_store_reads_total", m_context.store.reads());
    renderCounter(text, "radishplank_store_writes_total", m_context.store.writes());
    renderCounter(text, "radishplank_store_failures_total", m_context.store.failures());
    renderCounter(text, "radishplank_control_calls_total", m_context.control.callsMade());
    renderCounter(text, "radishplank_control_calls_failed_total", m_context.control.callsFailed());
    renderGauge(text, "radishplank_configuration_revision",
                static_cast<double>(m_context.configuration.revision()));
    MemoryBudget::ofProcess().renderPrometheus(text);
    metrics.firstToken.renderPrometheus(text, "radishplank_first_token_seconds");
    metrics.wholeAnswer.renderPrometheus(text, "radishplank_whole_answer_seconds");
    (void)exchange.respond({200, {{"Content-Type", std::string(prometheusType)}}, text});
}

void OperatorApi::showReadiness(HttpExchange &exchange)
{
    if (m_isDraining) {
        (void)exchange.respond({503, {}, "draining\n"});
        return;
    }
    const bool knowsOwners = m_context.configuration.read(
            [](const CatalogueSnapshot &catalogue) { return !catalogue.owners().empty(); });
    (void)exchange.respond(knowsOwners ? HttpResponse{200, {}, "ready\n"}
                                       : HttpResponse{503, {}, "no configuration yet\n"});
}

} // namespace Radishplank

#include "PlatformDeployment.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

namespace Radishplank::Test {

namespace json = boost::json;

namespace {

/// Ports of all entry processes. Each process has its own address.
constexpr std::uint16_t callerPort = 21'361;
constexpr std::uint16_t readyPort = 21'362;
constexpr std::uint16_t controlPort = 21'363;

/// Prefix of loopback addresses that no other test program uses at the same time.
std::string addressBase()
{
    const auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + id % 200) + "." + std::to_string(id / 200 % 250) + ".";
}

std::string makeDirectory()
{
    std::string pattern = std::filesystem::temp_directory_path() / "radishplank-XXXXXX";
    return mkdtemp(pattern.data());
}

json::object route(const std::string &name, const std::string &prefix, const std::string &type)
{
    return {{"name", name},
            {"host", PlatformDeployment::host},
            {"path_prefix", prefix},
            {"route_type", type},
            {"service", "assist"},
            {"timeout_ms", 10'000},
            {"target_latency_ms", 5'000},
            {"gap_aim_ms", 200},
            {"priority", 0}};
}

} // namespace

PlatformDeployment::PlatformDeployment()
    : store(*new FakeStore({addressBase() + "250", 0}))
    , m_directory(makeDirectory())
{
}

PlatformDeployment::~PlatformDeployment()
{
    m_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

FakeServer &PlatformDeployment::addServer(const std::string &id)
{
    const auto address = addressBase() + std::to_string(100 + m_servers.size());
    m_servers.push_back(new FakeServer(Endpoint{address, 0}, id));
    registerServer(*m_servers.back(), "ready");
    return *m_servers.back();
}

void PlatformDeployment::registerServer(FakeServer &server, const std::string &state)
{
    constexpr std::int64_t timeBetweenStarts = 1'000;
    registerAt(server.id(), server.endpoint(), state,
               firstStart + (server.startCount() - 1) * timeBetweenStarts);
}

unsigned PlatformDeployment::restartCrashedServers()
{
    unsigned restarted = 0;
    for (auto *server : m_servers) {
        if (!server->isDown())
            continue;
        server->restart();
        registerServer(*server, "ready");
        restarted += 1;
    }
    return restarted;
}

std::string PlatformDeployment::freeAddress() const
{
    return addressBase() + "90";
}

void PlatformDeployment::registerAt(const std::string &id, const Endpoint &endpoint,
                                    const std::string &state, std::int64_t startedAt)
{
    store.write("servers", id,
                json::object{{"service", "assist"},
                             {"address", endpoint.text()},
                             {"zone", "north-a"},
                             {"version", "v1"},
                             {"slots", 4},
                             {"state", state},
                             {"cold_left_ms", 0},
                             {"seq_no", 1},
                             {"born", startedAt}});
}

void PlatformDeployment::writeConfiguration(unsigned version, unsigned waitingTokens)
{
    writeConfiguration(version, waitingTokens, nullptr);
}

void PlatformDeployment::writeConfiguration(unsigned version, const json::array &tenants)
{
    writeConfiguration(version, 0, &tenants);
}

void PlatformDeployment::writeConfiguration(unsigned version, unsigned waitingTokens,
                                            const json::array *tenants)
{
    auto open = route("open", "/open/", "streaming");
    open["public"] = true;
    auto plain = route("plain", "/plain/", "streaming");
    plain["max_attempts"] = 1;
    auto resumable = route("resumable", "/resume/", "streaming");
    resumable["max_attempts"] = 3;
    resumable["resumable"] = true;
    auto batch = route("batch", "/batch/", "batch");
    batch["max_attempts"] = 2;
    batch["completion_target_ms"] = 18'000;
    batch["max_wait_s"] = 60;
    if (waitingTokens > 0)
        batch["max_count"] = waitingTokens;
    json::object configuration{{"version", version},
                               {"routes", json::array{plain, resumable, batch, open}},
                               {"services", json::array{}},
                               {"limits", json::object{{"max_header_bytes", maxHeaderBytes},
                                                       {"max_body_bytes", 100'000},
                                                       {"header_timeout_ms", 3'000},
                                                       {"idle_timeout_ms", 15'000}}}};
    if (tenants != nullptr)
        configuration["tenants"] = *tenants;
    store.write("config", "main", configuration);
}

std::string PlatformDeployment::addressOf(const std::string &name) const
{
    // A process name ends with the number of the process.
    return addressBase() + name.substr(name.find_last_not_of("0123456789") + 1);
}

Endpoint PlatformDeployment::callers(const std::string &name) const
{
    return {addressOf(name), callerPort};
}

Process &PlatformDeployment::startEntry(const std::string &name,
                                        const std::vector<std::string> &settings)
{
    const auto address = addressOf(name);
    const auto at = [&](std::uint16_t port) { return Endpoint{address, port}.text(); };
    std::vector<std::string> arguments{"entry",
                                       "--node=" + name,
                                       "--zone=north-a",
                                       "--zones=north-a=north,south-a=south",
                                       "--caller-listen=" + at(callerPort),
                                       "--ready-listen=" + at(readyPort),
                                       "--control-listen=" + at(controlPort),
                                       "--peer-listen=" + at(peerPort),
                                       "--seeds="
                                               + Endpoint{addressBase() + "1", controlPort}.text(),
                                       "--store=" + store.endpoint().text()};
    arguments.insert(arguments.end(), settings.begin(), settings.end());
    m_processes.push_back(std::make_unique<Process>(PLATFORM_PATH, arguments, m_directory, name));
    m_processes.back()->waitUntilReady();
    return *m_processes.back();
}

bool PlatformDeployment::isReady(const std::string &name)
{
    return client.call({addressOf(name), readyPort}, {"GET", "/-/readyz", {}, ""}).status == 200;
}

void PlatformDeployment::waitUntilReady(const std::string &name)
{
    REQUIRE(eventually([&] { return isReady(name); }));
}

HttpResponse PlatformDeployment::post(const std::string &entry, const std::string &path,
                                      const std::string &body, const std::string &id)
{
    return client.call(
            callers(entry),
            {"POST",
             path,
             {{"Host", host}, {"X-Attempt-Id", id}, {"X-Model", "m"}, {"X-Deadline-Ms", "9000"}},
             body});
}

HttpResponse PlatformDeployment::post(const std::string &entry, const std::string &path,
                                      const std::string &body, const std::string &id,
                                      const std::string &key)
{
    return callWithKey(entry, "POST", path, key, body, id);
}

HttpResponse PlatformDeployment::callWithKey(const std::string &entry, const std::string &method,
                                             const std::string &path, const std::string &key,
                                             const std::string &body, const std::string &id)
{
    HttpHeaders headers{
            {"Host", host}, {"X-Model", "m"}, {"X-Deadline-Ms", "9000"}, {"X-Tenant", "forged"}};
    if (!id.empty())
        headers.add("X-Attempt-Id", id);
    if (!key.empty())
        headers.add("Authorization", "Bearer " + key);
    return client.call(callers(entry), {method, path, std::move(headers), body});
}

HttpResponse PlatformDeployment::get(const std::string &entry, const std::string &path)
{
    return client.call(callers(entry), {"GET", path, {{"Host", host}}, ""});
}

std::string PlatformDeployment::fleetOf(const std::string &entry, const std::string &query)
{
    return client.call({addressOf(entry), controlPort}, {"GET", "/fleet" + query, {}, ""}).body;
}

HttpResponse PlatformDeployment::submit(const std::string &entry, const std::string &job,
                                        const std::vector<std::string> &bodies)
{
    std::vector<PromptItem> items;
    for (const auto &body : bodies)
        items.push_back({body, ""});
    return submitWithParts(entry, job, items);
}

HttpResponse PlatformDeployment::submitWithParts(const std::string &entry, const std::string &job,
                                                 const std::vector<PromptItem> &items)
{
    json::array values;
    for (const auto &item : items) {
        json::object headers{{"X-Model", "m"}};
        if (!item.parts.empty())
            headers["X-Prompt-Prefix"] = item.parts;
        values.push_back(json::object{{"id", item.id},
                                      {"path", "/batch/" + item.id},
                                      {"headers", std::move(headers)},
                                      {"body", encodeBase64(item.id)},
                                      {"token_count", 10}});
    }
    const auto text = json::serialize(json::object{{"items", std::move(values)}});
    return post(entry, "/batch/" + job, text, job);
}

json::array PlatformDeployment::waitForResults(const std::string &entry, const std::string &job,
                                               std::size_t count)
{
    json::array results;
    const bool hasAll = eventually([&] {
        const auto response = get(entry, "/-/lots/" + job + "?after=0");
        if (response.status != 200)
            return false;
        results = json::parse(response.body).as_object().at("results").as_array();
        return results.size() >= count;
    });
    REQUIRE(hasAll);
    return results;
}

} // namespace Radishplank::Test

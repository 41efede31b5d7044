#include "PlatformDeployment.h"
#include "SoakServer.h"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <stdexcept>
#include <unistd.h>

using namespace Radishplank;
using namespace Radishplank::Test;
namespace json = boost::json;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr unsigned entryCount = 3;
constexpr unsigned serverCount = 5;
constexpr unsigned clientCount = 15;
constexpr std::size_t maxItems = 5;

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string addressWithEnd(const std::string &address, unsigned end)
{
    return address.substr(0, address.rfind('.') + 1) + std::to_string(end);
}

bool isPromise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Broken promises, collected from all threads.
class Violations
{
public:
    void add(const std::string &rule, const std::string &id, const std::string &detail)
    {
        const std::scoped_lock lock(m_mutex);
        m_texts.push_back(rule + ": " + id + ": " + detail);
        m_ids.insert(id);
    }
    [[nodiscard]] std::vector<std::string> texts() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_texts;
    }
    [[nodiscard]] std::set<std::string> ids() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_ids;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_texts;
    std::set<std::string> m_ids;
};

/// An entry process that is signalled and restarted, and when that was.
class SoakEntry
{
public:
    SoakEntry(PlatformDeployment &deployment, std::string name, std::vector<std::string> settings)
        : m_deployment(deployment)
        , m_name(std::move(name))
        , m_settings(std::move(settings))
        , m_process(&deployment.startEntry(m_name, m_settings))
    {
    }

    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] Endpoint callers() const { return m_deployment.callers(m_name); }
    [[nodiscard]] std::string logText() const { return m_process.load()->logText(); }

    void signal(int number)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_process.load()->isRunning())
            m_process.load()->signal(number);
    }
    void freeze(Milliseconds time)
    {
        const auto begin = SteadyClock().now();
        signal(SIGSTOP);
        std::this_thread::sleep_for(time);
        signal(SIGCONT);
        addDisturbance(begin);
    }
    /// Stops the process with SIGTERM, or kills it, and starts it again.
    void restart(int number, Violations &violations)
    {
        constexpr Milliseconds timeToExit{10'000};
        const auto begin = SteadyClock().now();
        if (!isRunning())
            violations.add("FAULT", m_name, "the process ended by itself");
        signal(number);
        while (isRunning()) {
            if (SteadyClock().now() - begin > timeToExit)
                signal(SIGKILL);
            std::this_thread::sleep_for(Milliseconds(10));
        }
        try {
            m_process = &m_deployment.startEntry(m_name, m_settings);
        } catch (const std::runtime_error &error) {
            violations.add("FAULT", m_name, error.what());
        }
        addDisturbance(begin);
    }
    [[nodiscard]] bool isRunning()
    {
        const std::scoped_lock lock(m_mutex);
        return m_process.load()->isRunning();
    }
    [[nodiscard]] bool wasDisturbed(TimePoint from, TimePoint until) const
    {
        const std::scoped_lock lock(m_mutex);
        return std::any_of(m_disturbances.begin(), m_disturbances.end(), [&](const auto &span) {
            return span.first <= until && span.second >= from;
        });
    }

private:
    void addDisturbance(TimePoint begin)
    {
        const std::scoped_lock lock(m_mutex);
        m_disturbances.emplace_back(begin, SteadyClock().now());
    }

    PlatformDeployment &m_deployment;
    const std::string m_name;
    const std::vector<std::string> m_settings;
    mutable std::mutex m_mutex;
    std::atomic<Process *> m_process;
    std::vector<std::pair<TimePoint, TimePoint>> m_disturbances;
};

/// What a client got for a call. Status 0: no answer.
struct Answer
{
    unsigned status = 0;
    bool isComplete = false;
    std::string attemptId;
    std::string seal;
    std::string body;
};

/// A client that keeps its connection open until the process closes it.
class KeptConnection
{
public:
    Answer call(const Endpoint &to, const http::request<http::string_body> &request)
    {
        constexpr std::chrono::seconds timeout{15};
        boost::system::error_code code;
        if (!m_stream.socket().is_open()) {
            m_buffer.clear();
            m_stream.expires_after(timeout);
            m_stream.async_connect(
                    tcp::endpoint(boost::asio::ip::make_address(to.address), to.port),
                    [&](const boost::system::error_code &result) { code = result; });
            runHandlers();
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        if (!code) {
            m_stream.expires_after(timeout);
            http::async_write(
                    m_stream, request,
                    [&](const boost::system::error_code &result, std::size_t) { code = result; });
            runHandlers();
        }
        if (!code) {
            http::async_read(
                    m_stream, m_buffer, parser,
                    [&](const boost::system::error_code &result, std::size_t) { code = result; });
            runHandlers();
        }
        Answer answer;
        if (parser.is_header_done()) {
            const auto &message = parser.get();
            answer = {message.result_int(), !code && parser.is_done(),
                      std::string(message["X-Attempt-Id"]), std::string(message["X-Response-Seal"]),
                      message.body()};
        }
        if (code || !parser.get().keep_alive())
            close();
        return answer;
    }
    /// Returns what the process has sent although no request is waiting.
    std::string unaskedBytes()
    {
        if (!m_stream.socket().is_open())
            return {};
        boost::system::error_code code;
        const auto count = m_stream.socket().available(code);
        std::string bytes = beast::buffers_to_string(m_buffer.data());
        std::string rest(count, '\0');
        rest.resize(m_stream.socket().receive(boost::asio::buffer(rest), tcp::socket::message_peek,
                                              code));
        return bytes + rest;
    }
    [[nodiscard]] bool isOpen() const { return m_stream.socket().is_open(); }
    void close() { m_stream.close(); }

private:
    void runHandlers()
    {
        m_context.restart();
        m_context.run();
    }

    boost::asio::io_context m_context;
    beast::tcp_stream m_stream{m_context};
    beast::flat_buffer m_buffer;
};

http::request<http::string_body> makeRequest(http::verb method, const std::string &target,
                                             const std::string &id, const std::string &body)
{
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, PlatformDeployment::host);
    if (!id.empty())
        request.set("X-Attempt-Id", id);
    request.set("X-Model", "m");
    request.set("X-Deadline-Ms", "8000");
    request.body() = body;
    request.prepare_payload();
    return request;
}

/// A call of a client, after it has been answered.
struct SoakCall
{
    std::string id;
    unsigned entry = 0;
    bool isPlain = false;
    Answer answer;
};

/// A job, and what its client knows of it.
struct SoakJob
{
    std::string id;
    std::vector<std::string> items;
    bool isAccepted = false;
    /// Whether each attempt so far was answered with the promise that nothing runs.
    bool isRefused = true;
    /// The results that have been read, by position.
    std::vector<json::value> results;
};

/// Entry processes, faulty servers and clients, while signals and faults overlap.
class PromiseSoak
{
public:
    explicit PromiseSoak(std::uint64_t seed)
        : m_random(seed)
    {
        for (unsigned i = 0; i < serverCount; ++i) {
            constexpr unsigned firstAddress = 90;
            m_servers.push_back(std::make_unique<SoakServer>(
                    addressWithEnd(m_deployment.freeAddress(), firstAddress + i), nextServerId(i),
                    m_record, m_random()));
            registerServer(i, "ready");
        }
        writeConfiguration(1);
        writeSettings(1);
        const std::vector<std::string> settings{"--settings=" + m_settingsFile};
        for (unsigned i = 0; i < entryCount; ++i)
            m_entries.push_back(std::make_unique<SoakEntry>(
                    m_deployment, "entry" + std::to_string(i + 1), settings));
        for (const auto &entry : m_entries)
            m_deployment.waitUntilReady(entry->name());
        for (unsigned i = 0; i < entryCount; ++i)
            submitJobWithoutServers(i);
    }

    ~PromiseSoak()
    {
        std::error_code ignored;
        std::filesystem::remove(m_settingsFile, ignored);
    }
    PromiseSoak(const PromiseSoak &) = delete;
    PromiseSoak &operator=(const PromiseSoak &) = delete;

    void run(std::chrono::seconds time)
    {
        std::vector<std::thread> clients;
        std::vector<std::thread> faults;
        const auto spawn = [&](std::vector<std::thread> &threads, auto function) {
            threads.emplace_back(
                    [function, random = RandomEngine(m_random())]() mutable { function(random); });
        };
        for (unsigned client = 0; client < clientCount; ++client)
            spawn(clients, [this, client](RandomEngine &random) { runClient(client, random); });
        spawn(clients, [this](RandomEngine &random) { runJobClient(random); });
        // A process is restarted, then another one; the other series overlap with it.
        spawn(faults, [this](RandomEngine &random) {
            unsigned next = 0;
            repeat(random, 300, 1'500, [&] {
                const bool isKilled = randomBelow(random, 4) == 0;
                m_entries[next++ % entryCount]->restart(isKilled ? SIGKILL : SIGTERM, m_violations);
            });
        });
        spawn(faults, [this](RandomEngine &random) {
            repeat(random, 300, 1'500, [&] {
                writeSettings(1 + static_cast<unsigned>(randomBelow(random, entryCount)));
                entryOf(random).signal(SIGHUP);
            });
        });
        spawn(faults, [this](RandomEngine &random) {
            repeat(random, 500, 2'000,
                   [&] { entryOf(random).freeze(randomTime(random, 300, 1'000)); });
        });
        spawn(faults, [this](RandomEngine &random) {
            unsigned version = 1;
            repeat(random, 300, 1'500, [&] { writeConfiguration(++version); });
        });
        spawn(faults, [this](RandomEngine &random) {
            repeat(random, 2'000, 6'000, [&] {
                m_deployment.store.setBehaviour(StoreBehaviour::Refusing);
                std::this_thread::sleep_for(Milliseconds(1'000));
                m_deployment.store.setBehaviour(StoreBehaviour::Normal);
            });
        });
        spawn(faults, [this](RandomEngine &random) { delayJobWrites(random); });
        spawn(faults, [this](RandomEngine &random) { restartServers(random); });
        spawn(faults, [this](RandomEngine &random) {
            // The other servers take the load that the limited ones leave.
            constexpr unsigned maxLimited = 2;
            constexpr unsigned maxLimit = 5;
            repeat(random, 500, 3'000, [&] {
                auto &server = *m_servers[randomBelow(random, maxLimited)];
                server.nameRequestLimit(1 + static_cast<unsigned>(randomBelow(random, maxLimit)));
                (void)pause(randomTime(random, 300, 1'500));
                server.nameRequestLimit(0);
            });
        });
        std::this_thread::sleep_for(time);
        m_isFaulting = false;
        for (auto &thread : faults)
            thread.join();
        for (const auto &server : m_servers)
            server->stopFaults();
        for (const auto &old : m_oldIds)
            m_deployment.store.remove("servers", old.id);
        m_isRunning = false;
        for (auto &thread : clients)
            thread.join();
        for (const auto &entry : m_entries) {
            if (!entry->isRunning())
                m_violations.add("FAULT", entry->name(), "the process ended by itself");
        }
        leaveFewLimitedServers();
        addLastJob(0);
        readJobsToTheEnd();
        // All processes know the limits now, and each has items.
        for (unsigned i = 0; i < entryCount; ++i)
            addLastJob(i);
        readJobsToTheEnd();
        checkJobs();
        checkCalls();
    }

    [[nodiscard]] const Violations &violations() const { return m_violations; }

    [[nodiscard]] std::string summary() const
    {
        std::map<std::string, unsigned> counts;
        for (const auto &call : m_calls)
            counts[(call.isPlain ? "plain " : "resume ") + std::to_string(call.answer.status)
                   + (call.answer.isComplete ? "" : " incomplete")]
                    += 1;
        std::string text = m_record.summary() + "; ";
        for (const auto &[name, count] : counts)
            text += name + ": " + std::to_string(count) + ", ";
        return text + std::to_string(acceptedJobs()) + " of " + std::to_string(m_jobs.size())
               + " jobs accepted, " + std::to_string(m_excusedOverlaps)
               + " overlaps at disturbed processes";
    }
    [[nodiscard]] std::size_t acceptedJobs() const
    {
        return static_cast<std::size_t>(std::count_if(
                m_jobs.begin(), m_jobs.end(), [](const SoakJob &job) { return job.isAccepted; }));
    }
    /// Returns how many calls on the plain or the resumable route were served.
    [[nodiscard]] std::size_t servedCalls(bool isPlain) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_calls.begin(), m_calls.end(), [&](const SoakCall &call) {
                    return call.isPlain == isPlain && call.answer.status == 200
                           && call.answer.isComplete;
                }));
    }
    [[nodiscard]] const SoakRecord &record() const { return m_record; }
    /// Writes the traces of all violations, and the logs of the processes.
    void writeLogs(const std::string &path) const
    {
        std::ofstream file(path);
        for (const auto &text : m_violations.texts())
            file << text << "\n";
        for (const auto &id : m_violations.ids())
            file << "\n" << id << "\n" << m_record.traceOf(id);
        for (const auto &entry : m_entries)
            file << "\n" << entry->name() << "\n" << entry->logText();
    }

private:
    struct OldId
    {
        std::string id;
        TimePoint removal;
    };

    template<typename Action>
    void repeat(RandomEngine &random, unsigned leastPause, unsigned mostPause, Action action)
    {
        while (pause(randomTime(random, leastPause, mostPause)))
            action();
    }
    /// Returns false once no more faults are wanted.
    bool pause(Milliseconds time)
    {
        const auto until = SteadyClock().now() + time;
        while (m_isFaulting && SteadyClock().now() < until)
            std::this_thread::sleep_for(Milliseconds(10));
        return m_isFaulting;
    }

    SoakEntry &entryOf(RandomEngine &random) { return *m_entries[randomBelow(random, entryCount)]; }

    std::string nextServerId(unsigned server)
    {
        return "i-" + std::to_string(server) + "-" + std::to_string(++m_starts);
    }

    void registerServer(unsigned server, const std::string &state)
    {
        constexpr std::int64_t timeBetweenStarts = 1'000;
        m_deployment.registerAt(m_servers[server]->id(), m_servers[server]->endpoint(), state,
                                PlatformDeployment::firstStart + m_starts * timeBetweenStarts);
    }

    /// Lets writes of jobs, and of their owners, take effect long after they were sent.
    void delayJobWrites(RandomEngine &random)
    {
        repeat(random, 300, 2'000, [&] {
            m_deployment.store.delayWrites("radishplank-jobs", randomTime(random, 1'000, 6'000));
            (void)pause(randomTime(random, 200, 800));
            m_deployment.store.delayWrites("", Milliseconds(0));
        });
    }

    void restartServers(RandomEngine &random)
    {
        repeat(random, 100, 700, [&] {
            const auto now = SteadyClock().now();
            std::erase_if(m_oldIds, [&](const OldId &old) {
                if (old.removal <= now)
                    m_deployment.store.remove("servers", old.id);
                return old.removal <= now;
            });
            const auto server = static_cast<unsigned>(randomBelow(random, serverCount));
            // The entry of the earlier start stays.
            m_oldIds.push_back({m_servers[server]->id(), now + randomTime(random, 1'000, 4'000)});
            m_servers[server]->restart(nextServerId(server));
            registerServer(server, "ready");
        });
    }

    /// Writes the settings file of the processes. `seed` is the number of an entry process.
    void writeSettings(unsigned seed)
    {
        constexpr std::uint16_t controlPort = 21'363;
        constexpr unsigned stopSeconds = 4; // Several planned stops end within a short run.
        const Endpoint endpoint{addressWithEnd(m_deployment.freeAddress(), seed), controlPort};
        std::ofstream(m_settingsFile) << json::serialize(
                json::object{{"seeds", json::array{endpoint.text()}},
                             {"bounds", json::object{{"grace_s", stopSeconds}}}});
    }

    void writeConfiguration(unsigned version)
    {
        json::array routes;
        const auto add = [&](const std::string &name, const std::string &type, unsigned attempts,
                             const std::string &service = "assist") {
            json::object route{{"name", name},
                               {"host", PlatformDeployment::host},
                               {"path_prefix", "/" + name + "/"},
                               {"route_type", type},
                               {"service", service},
                               {"timeout_ms", 10'000},
                               {"target_latency_ms", 5'000},
                               {"gap_aim_ms", 500},
                               {"max_attempts", attempts},
                               {"priority", 0}};
            if (name == "resume")
                route["resumable"] = true;
            if (type == "batch") {
                route["completion_target_ms"] = 18'000;
                route["max_wait_s"] = 300;
            }
            routes.push_back(std::move(route));
        };
        add("plain", "streaming", 3);
        add("resume", "streaming", 4);
        add("batch", "batch", 3);
        add("lost", "batch", 3, "service-without-servers");
        // The other routes stay as they are.
        add("extra" + std::to_string(version % 2), "streaming", 1);
        m_deployment.store.write(
                "config", "main",
                json::object{{"version", version},
                             {"routes", std::move(routes)},
                             {"services", json::array{}},
                             {"limits", json::object{{"max_header_bytes", 16'384},
                                                     {"max_body_bytes", 100'000},
                                                     {"header_timeout_ms", 3'000},
                                                     {"idle_timeout_ms", 15'000}}}});
    }

    void runClient(unsigned client, RandomEngine &random)
    {
        constexpr unsigned maxEvents = 12;
        KeptConnection connection;
        unsigned entry = 0;
        for (unsigned number = 0; m_isRunning; ++number) {
            if (!connection.isOpen())
                entry = static_cast<unsigned>(randomBelow(random, entryCount));
            const auto id = "c" + std::to_string(client) + "-" + std::to_string(number);
            const bool isPlain = randomBelow(random, 2) == 0;
            const auto body = SoakServer::bodyFor(
                    id, 1 + static_cast<unsigned>(randomBelow(random, maxEvents)));
            const std::string path = isPlain ? "/plain/x" : "/resume/x";
            if (connection.unaskedBytes().starts_with("HTTP/1.1 2"))
                m_violations.add("MIXED", id, "a success before the request");
            m_record.note(id, "client calls " + m_entries[entry]->name() + path);
            const auto answer = connection.call(m_entries[entry]->callers(),
                                                makeRequest(http::verb::post, path, id, body));
            m_record.note(id, "client got " + std::to_string(answer.status)
                                      + (answer.isComplete ? "" : " incomplete"));
            checkAnswer(id, body, answer);
            {
                const std::scoped_lock lock(m_mutex);
                m_calls.push_back({id, entry, isPlain, answer});
            }
            std::this_thread::sleep_for(answer.status == 200 ? randomTime(random, 0, 20)
                                                             : randomTime(random, 10, 60));
        }
    }

    void checkAnswer(const std::string &id, const std::string &body, const Answer &answer)
    {
        if (!answer.attemptId.empty() && answer.attemptId != id)
            m_violations.add("MIXED", id, "answer with the id " + answer.attemptId);
        if (!answer.seal.empty() && answer.seal != "seal-of-" + id)
            m_violations.add("MIXED", id, "answer with " + answer.seal);
        if (answer.status > 599)
            m_violations.add("MIXED", id,
                             "answer with the status " + std::to_string(answer.status));
        if (answer.status != 200)
            return;
        const auto whole = SoakServer::responseBytes(body);
        if (answer.seal.empty())
            m_violations.add("MIXED", id, "success without a seal");
        if (answer.isComplete ? answer.body != whole : !whole.starts_with(answer.body))
            m_violations.add("ORDER", id,
                             (answer.isComplete ? "complete: " : "incomplete: ") + answer.body);
    }

    Answer callOnce(unsigned entry, const http::request<http::string_body> &request)
    {
        KeptConnection connection;
        return connection.call(m_entries[entry]->callers(), request);
    }

    void runJobClient(RandomEngine &random)
    {
        while (m_isRunning) {
            std::this_thread::sleep_for(randomTime(random, 50, 300));
            if (randomBelow(random, 3) == 0)
                addJob(random);
            if (randomBelow(random, 5) == 0)
                submitSmugglingJob(static_cast<unsigned>(randomBelow(random, entryCount)));
            for (auto &job : m_jobs) {
                const auto entry = static_cast<unsigned>(randomBelow(random, entryCount));
                if (!job.isAccepted && m_isRunning)
                    submit(job, entry);
                else if (job.results.size() < job.items.size() || randomBelow(random, 10) == 0)
                    read(job, entry, randomBelow(random, job.results.size() + 1));
                if (!m_isRunning)
                    break;
            }
        }
    }

    SoakJob &addJob(RandomEngine &random)
    {
        SoakJob job;
        job.id = "job" + std::to_string(m_jobs.size());
        const auto count = 1 + randomBelow(random, maxItems);
        for (std::size_t item = 0; item < count; ++item) {
            constexpr unsigned maxEvents = 6;
            job.items.push_back(
                    SoakServer::bodyFor(job.id + "-" + std::to_string(item),
                                        1 + static_cast<unsigned>(randomBelow(random, maxEvents))));
        }
        return m_jobs.emplace_back(std::move(job));
    }

    /// Submits a job after the faults, to a process that must accept it.
    void addLastJob(unsigned entry)
    {
        auto &job = addJob(m_random);
        if (!eventually([&] {
                submit(job, entry);
                return job.isAccepted;
            }))
            m_violations.add("LOST", job.id, "not accepted");
    }

    /// Submits a job with an item whose header would become another request.
    void submitSmugglingJob(unsigned entry)
    {
        const std::string id = "smuggling" + std::to_string(++m_smugglingJobs);
        const json::object item{
                {"id", id},
                {"path", "/batch/x"},
                {"headers",
                 json::object{{"A", "b\r\nContent-Length: 0\r\n\r\nPOST /batch/x HTTP/1.1\r\n"
                                    "X-Attempt-Id: smuggled\r\nA: b"}}},
                {"body", encodeBase64("x")},
                {"token_count", 10}};
        const auto answer = callOnce(
                entry, makeRequest(http::verb::post, "/batch/" + id, id,
                                   json::serialize(json::object{{"items", json::array{item}}})));
        if (answer.status == 202)
            m_violations.add("UNASKED", id, "accepted");
    }

    static http::request<http::string_body> submission(const std::string &route,
                                                       const std::string &job,
                                                       const std::vector<std::string> &itemIds)
    {
        json::array items;
        for (const auto &item : itemIds) {
            items.push_back(json::object{{"id", item},
                                         {"path", "/" + route + "/" + item},
                                         {"headers", json::object{{"X-Model", "m"}}},
                                         {"body", encodeBase64(item)},
                                         {"token_count", 10}});
        }
        return makeRequest(http::verb::post, "/" + route + "/" + job, job,
                           json::serialize(json::object{{"items", std::move(items)}}));
    }

    /// Submits a job whose items wait for the whole run.
    void submitJobWithoutServers(unsigned entry)
    {
        constexpr unsigned itemCount = 100;
        const auto id = "lost" + std::to_string(entry);
        std::vector<std::string> items;
        for (unsigned item = 0; item < itemCount; ++item)
            items.push_back(id + "-" + std::to_string(item));
        const auto answer = callOnce(entry, submission("lost", id, items));
        if (answer.status != 202)
            m_violations.add("LOST", id, "answered with " + std::to_string(answer.status));
    }

    void submit(SoakJob &job, unsigned entry)
    {
        const auto answer = callOnce(entry, submission("batch", job.id, job.items));
        m_record.note(job.id, m_entries[entry]->name() + " answers the submission with "
                                      + std::to_string(answer.status));
        if (answer.status == 202)
            job.isAccepted = true;
        if (!isPromise(answer.status))
            job.isRefused = false;
    }

    void read(SoakJob &job, unsigned entry, std::size_t after)
    {
        const auto answer = callOnce(
                entry,
                makeRequest(http::verb::get,
                            "/-/lots/" + job.id + "?after=" + std::to_string(after), "", ""));
        m_record.note(job.id, m_entries[entry]->name() + " answers the read after "
                                      + std::to_string(after) + " with "
                                      + std::to_string(answer.status));
        if (answer.status == 404)
            m_violations.add("LOST", job.id, "404 from " + m_entries[entry]->name());
        if (answer.status != 200 || !answer.isComplete)
            return;
        const auto object = json::parse(answer.body).as_object();
        if (object.at("total").to_number<std::size_t>() != job.items.size())
            m_violations.add("MIXED", job.id, "total: " + answer.body);
        for (const auto &result : object.at("results").as_array()) {
            if (after < job.results.size() && job.results[after] != result)
                m_violations.add("TWICE", job.id, "a position has another result: " + answer.body);
            if (after == job.results.size())
                job.results.push_back(result);
            after += 1;
        }
    }

    /// Leaves fewer servers than processes, each of which takes one request a second.
    void leaveFewLimitedServers()
    {
        constexpr unsigned remaining = entryCount - 1;
        for (unsigned server = 0; server < serverCount; ++server) {
            if (server < remaining)
                m_servers[server]->nameRequestLimit(1);
            else
                m_deployment.store.remove("servers", m_servers[server]->id());
        }
    }

    static bool isWhole(const SoakJob &job)
    {
        return !job.isAccepted || job.results.size() >= job.items.size();
    }

    void readJobsToTheEnd()
    {
        unsigned entry = 0;
        const auto readRest = [&] {
            std::size_t missing = 0;
            for (auto &job : m_jobs) {
                if (!isWhole(job))
                    read(job, entry++ % entryCount, job.results.size());
                if (!isWhole(job))
                    missing += job.items.size() - job.results.size();
            }
            return missing;
        };
        // Half of the requests that the servers take must be used.
        constexpr std::chrono::seconds finishTime{18};
        const auto until = SteadyClock().now() + finishTime + std::chrono::seconds(readRest());
        while (readRest() > 0 && SteadyClock().now() < until)
            std::this_thread::sleep_for(Milliseconds(20));
    }

    void checkJobs()
    {
        for (auto &job : m_jobs) {
            if (!job.isAccepted)
                continue;
            if (!isWhole(job))
                m_violations.add("LOST", job.id, "not all items are listed");
            for (unsigned i = 0; i < entryCount; ++i)
                read(job, i, 0);
            checkResults(job);
        }
    }

    void checkResults(const SoakJob &job)
    {
        std::multiset<std::string> listed;
        for (const auto &value : job.results) {
            const auto &result = value.as_object();
            const std::string id(result.at("id").as_string());
            listed.insert(id);
            m_record.note(job.id,
                          "listed: " + json::serialize(value) + "\n" + m_record.traceOf(id));
            if (result.at("state") != json::value("completed")
                || result.at("output") != json::value(SoakServer::responseData(id)))
                m_violations.add("MIXED", job.id, json::serialize(value));
        }
        if (listed != std::multiset<std::string>(job.items.begin(), job.items.end()))
            m_violations.add("TWICE", job.id, "the items are not listed exactly once");
    }

    void checkCalls()
    {
        const auto runs = m_record.runs();
        for (const auto &[id, unused] : runs) {
            if (id.starts_with("smuggl"))
                m_violations.add("UNASKED", id, "has run");
        }
        for (const auto &call : m_calls) {
            const auto found = runs.find(call.id);
            if (found == runs.end())
                continue;
            if (call.isPlain && found->second.size() > 1)
                m_violations.add("TWICE", call.id, std::to_string(found->second.size()) + " runs");
            if (call.isPlain && isPromise(call.answer.status))
                m_violations.add("REFUSED", call.id, std::to_string(call.answer.status));
            checkOverlaps(call, found->second);
        }
        for (const auto &job : m_jobs) {
            const bool hasRun
                    = std::any_of(job.items.begin(), job.items.end(),
                                  [&](const std::string &item) { return runs.contains(item); });
            if (!job.isAccepted && job.isRefused && hasRun)
                m_violations.add("REFUSED", job.id, "an item has run");
        }
    }

    /// Checks that no server works on a call long after it goes on at another one.
    void checkOverlaps(const SoakCall &call, const std::vector<SoakRun> &runs)
    {
        constexpr Milliseconds timeToStop{400};
        for (std::size_t later = 1; later < runs.size(); ++later) {
            const auto until = runs[later].begin + timeToStop;
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                const auto &run = runs[earlier];
                if (run.server == runs[later].server || (run.end && *run.end <= until))
                    continue;
                if (m_entries[call.entry]->wasDisturbed(runs[later].begin, until))
                    m_excusedOverlaps += 1;
                else
                    m_violations.add("TWICE", call.id,
                                     run.server + " still works after " + runs[later].server
                                             + " went on");
            }
        }
    }

    RandomEngine m_random;
    SoakRecord m_record;
    Violations m_violations;
    PlatformDeployment m_deployment;
    const std::string m_settingsFile = std::filesystem::temp_directory_path()
                                       / ("radishplank-soak-" + std::to_string(::getpid()));
    std::atomic<unsigned> m_starts{0};
    std::vector<std::unique_ptr<SoakServer>> m_servers;
    std::vector<std::unique_ptr<SoakEntry>> m_entries;
    std::vector<OldId> m_oldIds;
    std::atomic<bool> m_isFaulting{true};
    std::atomic<bool> m_isRunning{true};
    unsigned m_excusedOverlaps = 0;
    unsigned m_smugglingJobs = 0;
    std::mutex m_mutex;
    std::vector<SoakCall> m_calls;
    std::vector<SoakJob> m_jobs;
};

} // namespace

TEST_CASE("Promises to callers hold while processes and servers fail in overlapping series",
          "[Platform]")
{
    constexpr std::uint64_t defaultSeconds = 20;
    const auto seed = numberFromEnvironment("SOAK_SEED", 1);
    const auto seconds = numberFromEnvironment("SOAK_SECONDS", defaultSeconds);
    std::cout << "SOAK_SEED=" << seed << " SOAK_SECONDS=" << seconds << std::endl;
    PromiseSoak soak(seed);
    soak.run(std::chrono::seconds(seconds));
    std::cout << soak.summary() << std::endl;
    const char *log = std::getenv("SOAK_LOG");
    if (log != nullptr && !soak.violations().texts().empty())
        soak.writeLogs(log);
    for (const auto &text : soak.violations().texts())
        FAIL_CHECK(text);
    CHECK(soak.violations().texts().empty());
    // The run has had what the checks are about.
    CHECK(soak.servedCalls(true) > 0);
    CHECK(soak.servedCalls(false) > 0);
    CHECK(soak.acceptedJobs() > 0);
    CHECK(soak.record().refusals() > 0);
    CHECK(soak.record().misdirections() > 0);
    CHECK(soak.record().copies() > 0);
    CHECK(soak.record().resumptions() > 0);
}

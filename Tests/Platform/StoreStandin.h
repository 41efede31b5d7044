#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Radishplank::Test {

/// How the stand-in of the platform's store behaves.
enum class StoreMood {
    Sound,
    Refusing, ///< Every call gets 503.
    Silent,   ///< No call gets an answer, those that wait included, and none is done.
    Losing,   ///< Writes are done, but get no answer.
};

/// Stands in for the platform's metadata store, written after its published protocol.
class StoreStandin
{
public:
    explicit StoreStandin(const Endpoint &listen);

    [[nodiscard]] Endpoint endpoint() const { return m_server->endpoint(); }
    void setMood(StoreMood mood);
    /// What the operator and the servers do, whatever the mood.
    void write(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    [[nodiscard]] boost::json::value status(const std::string &kind, const std::string &name);
    [[nodiscard]] std::size_t count(const std::string &kind);
    [[nodiscard]] std::size_t callsMade() const { return m_calls; }
    /// Forgets all history: watches from before get 410.
    void dropHistory();

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        boost::json::value spec;
        boost::json::value status;
    };
    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        bool isDeleted = false;
        boost::json::object object;
    };

    void handle(HttpExchange &exchange);
    HttpResponse answer(const HttpRequest &request, const std::string &body);
    HttpResponse list(const std::string &kind, const HttpTarget &target);
    HttpResponse watch(const std::string &kind, const HttpTarget &target);
    HttpResponse replace(const std::string &kind, const std::string &name,
                         const boost::json::object &body, bool isStatus);
    HttpResponse create(const std::string &kind, const boost::json::object &body);
    HttpResponse destroy(const std::string &kind, const std::string &name,
                         const HttpTarget &target);
    void put(const std::string &kind, const std::string &name, boost::json::value spec);
    void note(const std::string &kind, const std::string &name, bool isDeleted);
    static boost::json::object describe(const std::string &name, const Object &object);

    std::atomic<StoreMood> m_mood{StoreMood::Sound};
    /// Silences so far: a watch that was waiting when one began is never answered.
    std::atomic<unsigned> m_silences{0};
    std::atomic<std::size_t> m_calls{0};
    std::mutex m_mutex;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyBegin = 0;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::deque<Event> m_events;
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Radishplank::Test

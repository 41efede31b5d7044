#pragma once

#include <Core/Core.h>
#include <Net/Net.h>

#include <boost/json.hpp>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Radishplank::Test {

/// How the fake of the platform's store behaves.
enum class StoreBehaviour {
    Normal,
    Refusing,               ///< Rejects every call with 503.
    Unresponsive,           ///< Answers no call, including waiting watches, and executes none.
    DroppingWriteResponses, ///< Executes writes, but does not answer them.
};

/// Fake of the platform's metadata store, implemented from its published protocol.
class FakeStore
{
public:
    explicit FakeStore(const Endpoint &listen);

    [[nodiscard]] Endpoint endpoint() const { return m_server->endpoint(); }
    void setBehaviour(StoreBehaviour behaviour);
    /// Writes an object as the operator or a server does, regardless of the behaviour.
    void write(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);
    [[nodiscard]] boost::json::value status(const std::string &kind, const std::string &name);
    [[nodiscard]] std::size_t count(const std::string &kind);
    [[nodiscard]] std::size_t callsMade() const { return m_calls; }
    /// Rejects the creation of larger objects with 413.
    void limitValues(std::size_t bytes) { m_maxValueBytes = bytes; }
    /// Executes writes of objects of this kind that arrive from now on after this time, and answers
    /// none of them; an empty kind ends that for further writes.
    void delayWrites(const std::string &kind, Milliseconds delay);
    /// Drops the history: watches that start at an earlier revision get 410.
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
    /// Returns how much later a call is executed than it arrives; 0 if at once.
    Milliseconds delayOf(const HttpRequest &request);
    HttpResponse handleRequest(const HttpRequest &request, const std::string &body);
    HttpResponse list(const std::string &kind, const HttpTarget &target);
    HttpResponse watch(const std::string &kind, const HttpTarget &target);
    HttpResponse replace(const std::string &kind, const std::string &name,
                         const boost::json::object &body, bool isStatus);
    HttpResponse create(const std::string &kind, const boost::json::object &body);
    HttpResponse destroy(const std::string &kind, const std::string &name,
                         const HttpTarget &target);
    void put(const std::string &kind, const std::string &name, boost::json::value spec);
    void recordEvent(const std::string &kind, const std::string &name, bool isDeleted);
    static boost::json::object toJson(const std::string &name, const Object &object);

    std::atomic<StoreBehaviour> m_behaviour{StoreBehaviour::Normal};
    /// Number of outages so far. A watch that is waiting when an outage begins is never answered.
    std::atomic<unsigned> m_outages{0};
    std::atomic<std::size_t> m_calls{0};
    std::atomic<std::size_t> m_maxValueBytes{std::numeric_limits<std::size_t>::max()};
    std::mutex m_mutex;
    std::string m_delayedKind;
    Milliseconds m_writeDelay{};
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyBegin = 0;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::deque<Event> m_events;
    FiberThreads &m_threads;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Radishplank::Test

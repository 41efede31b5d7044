#pragma once

#include <Core/Core.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Radishplank::Test {

/// Returns a time between two numbers of milliseconds.
inline Milliseconds randomTime(RandomEngine &random, unsigned least, unsigned most)
{
    return Milliseconds(static_cast<long long>(least + randomBelow(random, most - least + 1)));
}

/// The time during which a server worked on a request.
struct SoakRun
{
    std::string id;
    std::string server;
    TimePoint begin;
    /// Not set while the server still works on it.
    std::optional<TimePoint> end;
};

/// What servers did with each request, by its id. Safe to use from several threads.
class SoakRecord
{
public:
    /// Returns a number that identifies the run in end().
    std::size_t begin(const std::string &id, const std::string &server, std::string_view after);
    void end(std::size_t run);
    /// Adds a line to the trace of a request.
    void note(const std::string &id, const std::string &text);

    [[nodiscard]] std::map<std::string, std::vector<SoakRun>> runs() const;
    [[nodiscard]] std::string traceOf(const std::string &id) const;
    void countRefusal() { m_refusals += 1; }
    void countMisdirection() { m_misdirections += 1; }
    void countCopy() { m_copies += 1; }
    [[nodiscard]] unsigned refusals() const { return m_refusals; }
    /// Requests that named an earlier start of the server.
    [[nodiscard]] unsigned misdirections() const { return m_misdirections; }
    /// Copies of earlier answers.
    [[nodiscard]] unsigned copies() const { return m_copies; }
    /// Runs that went on after an event.
    [[nodiscard]] unsigned resumptions() const { return m_resumptions; }
    [[nodiscard]] std::string summary() const;

private:
    void noteLocked(const std::string &id, const std::string &text);

    const TimePoint m_start = SteadyClock().now();
    mutable std::mutex m_mutex;
    std::vector<SoakRun> m_runs;
    std::map<std::string, std::string> m_traces;
    std::atomic<unsigned> m_refusals{0};
    std::atomic<unsigned> m_misdirections{0};
    std::atomic<unsigned> m_resumptions{0};
    std::atomic<unsigned> m_copies{0};
};

/// A faulty model server: it refuses requests, writes earlier answers once more, breaks streams
/// off, fails after a run, and restarts at its address under another id.
class SoakServer
{
public:
    SoakServer(const std::string &address, std::string id, SoakRecord &record, std::uint64_t seed);
    ~SoakServer();
    SoakServer(const SoakServer &) = delete;
    SoakServer &operator=(const SoakServer &) = delete;

    [[nodiscard]] Endpoint endpoint() const { return m_endpoint; }
    [[nodiscard]] std::string id() const;
    /// Closes all connections and goes on under another id.
    void restart(std::string id);
    /// Serves all further requests without faults, except those that name another id.
    void stopFaults() { m_isFaulty = false; }
    /// Names in all further answers how many requests a second the server takes; 0 for none.
    void nameRequestLimit(unsigned perSecond) { m_requestLimit = perSecond; }

    /// A body that asks for a number of events.
    static std::string bodyFor(const std::string &id, unsigned events);
    /// Returns the bytes of all events in the answer to a request with this body.
    static std::string responseBytes(const std::string &body);
    /// Returns the data of all events, as contained in a job's result.
    static std::string responseData(const std::string &body);

private:
    using Socket = boost::asio::ip::tcp::socket;
    struct Connection
    {
        explicit Connection(boost::asio::io_context &context)
            : socket(context)
        {
        }
        Socket socket;
        std::string serverId;
        RandomEngine random;
        std::vector<std::string> earlierRefusals;
        std::vector<std::string> earlierAnswers;
        std::atomic<bool> hasEnded{false};
        std::thread thread;
    };
    struct Request
    {
        std::string id;
        std::string expectedServer;
        std::string after;
        std::string body;
    };

    void acceptLoop();
    void serve(Connection &connection);
    /// The functions below return false if the connection must be closed.
    bool answer(Connection &connection, const Request &request);
    bool refuse(Connection &connection, const Request &request, const std::string &status);
    bool run(Connection &connection, const Request &request);
    bool runStream(Connection &connection, const Request &request);
    bool write(Connection &connection, std::string_view bytes);
    /// Writes an answer, and around it copies of earlier ones.
    bool writeAmongCopies(Connection &connection, const Request &request, std::string_view bytes);
    bool writeLateCopy(Connection &connection, const Request &request);
    bool writeEarlyCopy(Connection &connection, const Request &request);
    /// Returns false once the peer has closed the connection.
    static bool waitWhileOpen(Connection &connection, Milliseconds time);
    /// Returns an earlier answer of the connection, most often a refusal; empty if there is none.
    static std::string earlierAnswer(Connection &connection);
    bool chance(Connection &connection, unsigned percent) const;
    /// Returns the beginning of an answer, up to its body.
    [[nodiscard]] std::string head(const std::string &status, const std::string &id,
                                   const std::string &headers) const;
    void shutDownConnections();

    SoakRecord &m_record;
    std::atomic<bool> m_isFaulty{true};
    std::atomic<bool> m_isStopping{false};
    std::atomic<unsigned> m_requestLimit{0};
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const Endpoint m_endpoint;
    mutable std::mutex m_mutex;
    std::string m_id;
    RandomEngine m_random;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

} // namespace Radishplank::Test

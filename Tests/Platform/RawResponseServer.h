#pragma once

#include <Core/Core.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Radishplank::Test {

/// A faulty model server that responds with arbitrary bytes chosen by a test, which need not be a
/// valid response of the protocol.
class RawResponseServer
{
public:
    /// Returns the bytes to send for a request, given the value of its X-Attempt-Id.
    using Script = std::function<std::string(const std::string &attempt)>;

    RawResponseServer(const std::string &address, Script script);
    ~RawResponseServer();

    /// Sends `piece` repeatedly after each response, until the caller closes the connection.
    void repeatUntilClosed(std::string piece, Milliseconds pause = Milliseconds(0));
    /// Number of bytes sent after responses, over all connections.
    [[nodiscard]] std::size_t repeatedBytes() const { return m_repeatedBytes; }
    [[nodiscard]] Endpoint endpoint() const { return m_endpoint; }
    [[nodiscard]] unsigned requests() const { return m_requests; }

private:
    struct Connection
    {
        std::shared_ptr<boost::asio::ip::tcp::socket> socket;
        std::thread thread;
    };

    void acceptLoop();
    void serve(boost::asio::ip::tcp::socket &socket);

    const Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const Endpoint m_endpoint;
    std::atomic<unsigned> m_requests{0};
    std::string m_repeated;
    Milliseconds m_repeatPause{};
    std::atomic<std::size_t> m_repeatedBytes{0};
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::vector<Connection> m_connections;
    std::thread m_thread;
};

} // namespace Radishplank::Test

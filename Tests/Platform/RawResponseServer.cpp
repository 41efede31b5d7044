#include "RawResponseServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace Radishplank::Test {

using boost::asio::ip::tcp;

namespace {

std::string fieldOf(const std::string &head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

RawResponseServer::RawResponseServer(const std::string &address, Script script)
    : m_script(std::move(script))
    , m_acceptor(m_context, {boost::asio::ip::make_address(address), 0})
    , m_endpoint{address, m_acceptor.local_endpoint().port()}
    , m_thread([this] { acceptLoop(); })
{
}

RawResponseServer::~RawResponseServer()
{
    boost::system::error_code ignored;
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
        // Callers may keep idle connections open.
        for (const auto &connection : m_connections) {
            if (connection.socket->is_open())
                connection.socket->shutdown(tcp::socket::shutdown_both, ignored);
        }
    }
    // Wakes the thread that is blocked in accept().
    tcp::socket last(m_context);
    last.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
    for (auto &connection : m_connections)
        connection.thread.join();
}

void RawResponseServer::acceptLoop()
{
    while (true) {
        auto socket = std::make_shared<tcp::socket>(m_context);
        boost::system::error_code code;
        m_acceptor.accept(*socket, code);
        const std::scoped_lock lock(m_mutex);
        if (m_isStopping)
            return;
        if (code)
            continue;
        m_connections.push_back({socket, std::thread([this, socket] {
                                     serve(*socket);
                                     const std::scoped_lock closing(m_mutex);
                                     boost::system::error_code ignored;
                                     socket->close(ignored);
                                 })});
    }
}

void RawResponseServer::serve(tcp::socket &socket)
{
    // One request per connection: callers must not reuse a connection after malformed bytes.
    std::string received;
    boost::system::error_code code;
    const auto headSize = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received),
                                                  "\r\n\r\n", code);
    if (code)
        return;
    const auto head = received.substr(0, headSize);
    const auto length = fieldOf(head, "Content-Length");
    const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
    const auto missing = bodySize - std::min(bodySize, received.size() - headSize);
    boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                      boost::asio::transfer_exactly(missing), code);
    m_requests += 1;
    boost::asio::write(socket, boost::asio::buffer(m_script(fieldOf(head, "X-Attempt-Id"))), code);
    while (!m_repeated.empty() && !code && !m_isStopping) {
        m_repeatedBytes += boost::asio::write(socket, boost::asio::buffer(m_repeated), code);
        std::this_thread::sleep_for(m_repeatPause);
    }
    socket.shutdown(tcp::socket::shutdown_send, code);
}

void RawResponseServer::repeatUntilClosed(std::string piece, Milliseconds pause)
{
    m_repeated = std::move(piece);
    m_repeatPause = pause;
}

} // namespace Radishplank::Test

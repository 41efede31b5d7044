#include "SpoiltServer.h"

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

SpoiltServer::SpoiltServer(const std::string &address, Script script)
    : m_script(std::move(script))
    , m_acceptor(m_context, {boost::asio::ip::make_address(address), 0})
    , m_endpoint{address, m_acceptor.local_endpoint().port()}
    , m_thread([this] { acceptLoop(); })
{
}

SpoiltServer::~SpoiltServer()
{
    m_isStopping = true;
    // Wakes the thread that waits for a connection.
    tcp::socket last(m_context);
    boost::system::error_code ignored;
    last.connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
}

void SpoiltServer::acceptLoop()
{
    while (true) {
        tcp::socket socket(m_context);
        boost::system::error_code code;
        m_acceptor.accept(socket, code);
        if (m_isStopping)
            return;
        if (!code)
            serve(std::move(socket));
    }
}

void SpoiltServer::serve(tcp::socket socket)
{
    // One request for each connection: whoever gets spoilt bytes must not use it again.
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

void SpoiltServer::repeatUntilClosed(std::string piece, Milliseconds pause)
{
    m_repeated = std::move(piece);
    m_repeatPause = pause;
}

} // namespace Radishplank::Test

#pragma once

#include <Core/Core.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Radishplank::Test {

/// A faulty server that writes all earlier responses of a connection once more before each further
/// one.
class RepeatingServer
{
public:
    /// Returns the bytes of the response, given the head of the request.
    using Script = std::function<std::string(const std::string &head)>;

    RepeatingServer(const std::string &address, Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, {boost::asio::ip::make_address(address), 0})
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~RepeatingServer()
    {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        const auto local = m_acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }
    [[nodiscard]] unsigned connections() const { return m_connections; }

    /// Returns the value of a header field; empty if there is none.
    static std::string fieldOf(const std::string &head, const std::string &name)
    {
        const auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

private:
    struct Connection
    {
        boost::asio::ip::tcp::socket socket;
        std::string received;
        std::string earlierResponses;
    };

    void accept()
    {
        auto connection = std::make_shared<Connection>(
                Connection{boost::asio::ip::tcp::socket(m_context), "", ""});
        m_acceptor.async_accept(connection->socket,
                                [this, connection](const boost::system::error_code &code) {
                                    if (code)
                                        return;
                                    m_connections += 1;
                                    readRequest(connection);
                                    accept();
                                });
    }
    void readRequest(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
                connection->socket, boost::asio::dynamic_buffer(connection->received), "\r\n\r\n",
                [this, connection](const boost::system::error_code &code, std::size_t headBytes) {
                    if (!code)
                        respond(*connection, headBytes);
                    if (!code)
                        readRequest(connection);
                });
    }
    void respond(Connection &connection, std::size_t headBytes)
    {
        boost::system::error_code ignored;
        const auto head = connection.received.substr(0, headBytes);
        const auto length = fieldOf(head, "Content-Length");
        const std::size_t bytes = headBytes + (length.empty() ? 0 : std::stoul(length));
        const auto missing = bytes - std::min(bytes, connection.received.size());
        boost::asio::read(connection.socket, boost::asio::dynamic_buffer(connection.received),
                          boost::asio::transfer_exactly(missing), ignored);
        connection.received.erase(0, bytes);
        const auto response = m_script(head);
        boost::asio::write(connection.socket,
                           boost::asio::buffer(connection.earlierResponses + response), ignored);
        connection.earlierResponses += response;
    }

    const Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<unsigned> m_connections{0};
    std::thread m_thread;
};

} // namespace Radishplank::Test

#pragma once

#include <Net/Net.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>

namespace Radishplank::Test {

/// A TCP client that sends raw bytes.
class RawClient
{
public:
    explicit RawClient(const Endpoint &to)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(to.address), to.port});
    }

    /// Returns false if the server has closed the connection.
    bool send(std::string_view bytes)
    {
        boost::system::error_code code;
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), code);
        return !code;
    }

    /// Returns the bytes received before the server closes the connection, or nothing if it stays
    /// open.
    std::optional<std::string> readToEnd()
    {
        constexpr int readTimeoutMilliseconds = 20'000;
        std::string text;
        std::array<char, 4096> bytes{};
        while (true) {
            pollfd readable{m_socket.native_handle(), POLLIN, 0};
            if (::poll(&readable, 1, readTimeoutMilliseconds) == 0)
                return {};
            boost::system::error_code code;
            const auto count = m_socket.read_some(boost::asio::buffer(bytes), code);
            text.append(bytes.data(), count);
            if (code)
                return text;
        }
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace Radishplank::Test

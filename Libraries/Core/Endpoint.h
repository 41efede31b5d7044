#pragma once

#include <Core/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Radishplank {

/// A TCP endpoint: an IPv4 address and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    [[nodiscard]] std::string text() const { return address + ":" + std::to_string(port); }

    /// Parses `ADDRESS:PORT`; host names are rejected, because processes address each other by IP.
    static Result<Endpoint> parse(std::string_view text);
};

} // namespace Radishplank

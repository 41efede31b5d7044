#pragma once

#include <Core/Result.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Radishplank {

/// A TCP address: an IP number and a port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    [[nodiscard]] std::string text() const { return address + ":" + std::to_string(port); }

    /// Parses `ADDRESS:PORT`; names are refused, because processes know each other by IP number.
    static Result<Endpoint> parse(std::string_view text);
};

} // namespace Radishplank

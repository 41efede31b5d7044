#include <Core/Endpoint.h>

#include <arpa/inet.h>
#include <charconv>

namespace Radishplank {

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto invalid = [&](std::string_view why) {
        return Error{ErrorKind::InvalidInput,
                     "'" + std::string(text) + "' is not ADDRESS:PORT: " + std::string(why)};
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalid("the port is missing");
    const std::string address(text.substr(0, colon));
    in_addr parsedAddress{};
    if (inet_pton(AF_INET, address.c_str(), &parsedAddress) != 1)
        return invalid("the address is not an IPv4 number");
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return invalid("the port is not a number from 0 to 65535");
    return Endpoint{address, port};
}

} // namespace Radishplank

#include <Gateway/CallFingerprint.h>

#include <Core/Core.h>

#include <cinttypes>
#include <cstdio>

namespace Radishplank {

std::uint64_t callFingerprint(const HttpRequest &request, std::string_view body)
{
    auto hash = stableHash(request.headers.value("Host"));
    hash = stableHash(request.method, hash);
    hash = stableHash(request.target, hash);
    return stableHash(body, hash);
}

std::string fingerprintText(std::uint64_t fingerprint)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016" PRIx64, fingerprint);
    return text;
}

} // namespace Radishplank

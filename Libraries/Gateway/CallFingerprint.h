#pragma once

#include <Net/Net.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Radishplank {

/// Returns a hash of the host, method, target and body of a call. It is the same for a retry of the
/// call with another id or through another process.
[[nodiscard]] std::uint64_t callFingerprint(const HttpRequest &request, std::string_view body);

/// Formats a fingerprint for log lines: 16 hexadecimal digits.
[[nodiscard]] std::string fingerprintText(std::uint64_t fingerprint);

} // namespace Radishplank

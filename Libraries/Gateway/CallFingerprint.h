#pragma once

#include <Net/Net.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Radishplank {

/// Returns what a call and the same call sent again, with another id or at another process, have in
/// common: a hash of its host, method, target and body.
[[nodiscard]] std::uint64_t callFingerprint(const HttpRequest &request, std::string_view body);

/// A fingerprint as log lines have it: 16 hexadecimal digits.
[[nodiscard]] std::string fingerprintText(std::uint64_t fingerprint);

} // namespace Radishplank

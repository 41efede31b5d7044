#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Radishplank {

/// Returns the SHA-256 digest of the text as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

/// Returns a fast non-cryptographic hash with the same value on every machine; not for secrets.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Computes a SHA-256 digest incrementally.
class Sha256Stream
{
public:
    Sha256Stream();
    ~Sha256Stream();
    Sha256Stream(const Sha256Stream &) = delete;
    Sha256Stream &operator=(const Sha256Stream &) = delete;

    void append(std::string_view text);
    [[nodiscard]] std::string finishHex();

private:
    void *m_context;
};

} // namespace Radishplank

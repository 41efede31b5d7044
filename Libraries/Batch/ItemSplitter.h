#pragma once

#include <Core/Core.h>

#include <boost/unordered/unordered_flat_set.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

struct SplitLimits
{
    std::size_t itemsPerShard = 2'000;
    std::size_t bytesPerShard = 700'000;
    std::size_t itemsPerJob = 120'000;
    std::size_t bytesPerItem = 256'000;
};

/// Cuts JSON Lines that arrive in pieces into parts of a job, and checks each line.
///
/// Memory: one part, and 8 bytes or so for each item's identifier.
class ItemSplitter
{
public:
    explicit ItemSplitter(SplitLimits limits)
        : m_limits(limits)
    {
    }

    struct Part
    {
        std::string lines;
        std::size_t items = 0;
    };

    /// Takes a piece of input and returns the parts it completes. An error names the line.
    Result<std::vector<Part>> take(std::string_view piece);
    /// Ends the input and returns the last part, if any.
    Result<std::vector<Part>> finish();
    /// Returns the digest of everything taken; call once, after finish().
    [[nodiscard]] std::string digest() { return m_digest.finishHex(); }

private:
    Result<void> takeLine(std::string_view line, std::vector<Part> &parts);
    Result<void> checkLine(std::string_view line);
    [[nodiscard]] Error fault(ErrorKind kind, const std::string &message) const;

    SplitLimits m_limits;
    std::string m_unfinishedLine;
    Part m_part;
    std::size_t m_lineNumber = 0;
    std::size_t m_items = 0;
    /// Hashes, not texts, of the identifiers seen.
    boost::unordered_flat_set<std::uint64_t> m_identifiers;
    Sha256Stream m_digest;
};

} // namespace Radishplank

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

/// Splits a streamed JSON Lines upload into parts, one for each shard, and validates each line.
///
/// Memory: one part, plus about 8 bytes for each item's identifier.
class ItemSplitter
{
public:
    explicit ItemSplitter(SplitLimits limits)
        : m_limits(limits)
    {
    }

    struct UploadPart
    {
        std::string lines;
        std::size_t items = 0;
    };

    /// Appends a chunk of input and returns the parts that it completes. Errors name the line
    /// number.
    Result<std::vector<UploadPart>> addChunk(std::string_view chunk);
    /// Ends the input and returns the final part, if any.
    Result<std::vector<UploadPart>> finish();
    /// Returns the SHA-256 digest of the whole input; call once, after finish().
    [[nodiscard]] std::string digest() { return m_digest.finishHex(); }

private:
    Result<void> addLine(std::string_view line, std::vector<UploadPart> &parts);
    Result<void> checkLine(std::string_view line);
    [[nodiscard]] Error lineError(ErrorKind kind, const std::string &message) const;

    SplitLimits m_limits;
    std::string m_unfinishedLine;
    UploadPart m_part;
    std::size_t m_lineNumber = 0;
    std::size_t m_items = 0;
    /// Hashes of the identifiers read so far; storing the identifiers would take more memory.
    boost::unordered_flat_set<std::uint64_t> m_identifiers;
    Sha256Stream m_digest;
};

} // namespace Radishplank

#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Assembles a body of unknown size in pieces. Unlike a string that grows, it never copies the
/// whole body while it arrives, and leaves no freed blocks of all sizes behind.
///
/// Pieces are not initialized, so that memory becomes resident only as bytes are written to it.
class BodyBuffer
{
public:
    /// Returns room for the next bytes; never empty.
    std::span<char> prepare();
    /// Counts bytes that were written to the beginning of that room.
    void commit(std::size_t bytes);
    void append(std::string_view bytes);
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// Returns the body and leaves the buffer empty.
    std::string take();

private:
    struct Piece
    {
        std::unique_ptr<char[]> bytes;
        std::size_t size = 0;
    };
    std::vector<Piece> m_pieces;
    /// Bytes used in the last piece; all other pieces are full.
    std::size_t m_lastUsed = 0;
    std::size_t m_size = 0;
};

} // namespace Radishplank

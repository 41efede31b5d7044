#include <Net/BodyBuffer.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Most bodies fit in the first piece.
constexpr std::size_t firstPieceBytes = std::size_t{4} * 1024;
/// Large enough that the allocator maps and unmaps each piece under a memory limit.
constexpr std::size_t pieceBytes = std::size_t{64} * 1024;

} // namespace

std::span<char> BodyBuffer::prepare()
{
    if (m_pieces.empty() || m_lastUsed == m_pieces.back().size) {
        const auto bytes = m_pieces.empty() ? firstPieceBytes : pieceBytes;
        m_pieces.push_back({std::make_unique_for_overwrite<char[]>(bytes), bytes});
        m_lastUsed = 0;
    }
    return std::span(m_pieces.back().bytes.get(), m_pieces.back().size).subspan(m_lastUsed);
}

void BodyBuffer::commit(std::size_t bytes)
{
    m_lastUsed += bytes;
    m_size += bytes;
}

void BodyBuffer::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto space = prepare();
        const auto count = std::min(space.size(), bytes.size());
        std::copy_n(bytes.begin(), count, space.begin());
        commit(count);
        bytes.remove_prefix(count);
    }
}

std::string BodyBuffer::take()
{
    std::string body;
    body.reserve(m_size);
    // Each piece is freed once it is copied: memory reserved for the body becomes resident only as
    // it is filled.
    for (auto &piece : m_pieces) {
        body.append(piece.bytes.get(), std::min(piece.size, m_size - body.size()));
        piece.bytes.reset();
    }
    m_pieces.clear();
    m_lastUsed = m_size = 0;
    return body;
}

} // namespace Radishplank

#pragma once

#include <Core/Result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Bit set over the item numbers of one shard; serialized as hexadecimal digits.
class ItemSet
{
public:
    explicit ItemSet(std::size_t size = 0)
        : m_members(size, false)
    {
    }

    /// Parses a serialized set over `size` items.
    static Result<ItemSet> parse(std::string_view text, std::size_t size);

    [[nodiscard]] bool contains(std::size_t item) const { return m_members[item]; }
    void insert(std::size_t item) { m_members[item] = true; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] std::string text() const;

private:
    std::vector<bool> m_members;
};

} // namespace Radishplank

#include <Batch/ItemSet.h>

#include <algorithm>

namespace Radishplank {

namespace {

constexpr std::string_view digits = "0123456789abcdef";
constexpr std::size_t bitsPerDigit = 4;

} // namespace

Result<ItemSet> ItemSet::parse(std::string_view text, std::size_t size)
{
    ItemSet set(size);
    if (text.size() != (size + bitsPerDigit - 1) / bitsPerDigit)
        return Error{ErrorKind::InvalidInput, "a set of items has the wrong length"};
    for (std::size_t item = 0; item < size; ++item) {
        const auto digit = digits.find(text[item / bitsPerDigit]);
        if (digit == std::string_view::npos)
            return Error{ErrorKind::InvalidInput, "a set of items is not hexadecimal"};
        if ((digit >> (item % bitsPerDigit) & 1U) != 0)
            set.insert(item);
    }
    return set;
}

std::size_t ItemSet::count() const
{
    return static_cast<std::size_t>(std::count(m_members.begin(), m_members.end(), true));
}

std::string ItemSet::text() const
{
    std::string result;
    for (std::size_t first = 0; first < m_members.size(); first += bitsPerDigit) {
        std::size_t digit = 0;
        for (std::size_t bit = 0; bit < bitsPerDigit && first + bit < m_members.size(); ++bit)
            digit |= static_cast<std::size_t>(m_members[first + bit]) << bit;
        result += digits[digit];
    }
    return result;
}

} // namespace Radishplank

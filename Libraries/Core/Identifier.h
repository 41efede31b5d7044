#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Radishplank {

/// A string identifier with a distinct type for each kind, so that kinds cannot be mixed up.
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    [[nodiscard]] const std::string &text() const { return m_text; }
    [[nodiscard]] bool isEmpty() const { return m_text.empty(); }
    auto operator<=>(const Identifier &) const = default;

private:
    std::string m_text;
};

using OwnerId = Identifier<struct OwnerIdTag>;
using EntryName = Identifier<struct EntryNameTag>;
using JobName = Identifier<struct JobNameTag>;
using AttemptId = Identifier<struct AttemptIdTag>;
using UpstreamId = Identifier<struct UpstreamIdTag>;
using NodeId = Identifier<struct NodeIdTag>;
using ZoneName = Identifier<struct ZoneNameTag>;
using RegionName = Identifier<struct RegionNameTag>;

} // namespace Radishplank

template<typename Tag>
struct std::hash<Radishplank::Identifier<Tag>>
{
    std::size_t operator()(const Radishplank::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>{}(identifier.text());
    }
};

#include <Core/Findings.h>

namespace Radishplank {

void Findings::add(std::string place, std::string message)
{
    m_findings.push_back({std::move(place), std::move(message)});
}

std::string Findings::text() const
{
    std::string joined;
    for (const auto &finding : m_findings) {
        if (!joined.empty())
            joined += '\n';
        joined += finding.place + ": " + finding.message;
    }
    return joined;
}

} // namespace Radishplank

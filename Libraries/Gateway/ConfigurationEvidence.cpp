#include <Gateway/ConfigurationEvidence.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Covers differences between the speeds of the machines' clocks, and their resolution.
constexpr Milliseconds clockMargin{250};

} // namespace

ConfigurationEvidence::ConfigurationEvidence(Milliseconds revocationTime)
    : m_revocationTime(revocationTime)
{
}

void ConfigurationEvidence::confirm(std::uint64_t version, Duration at)
{
    if (version == 0 || version < m_version)
        return;
    // Versions only rise, so a newer version can only have been confirmed later.
    m_confirmedAt = m_version == 0 ? at : std::max(m_confirmedAt, at);
    m_version = version;
}

bool ConfigurationEvidence::suffices(std::uint64_t known, Duration now) const
{
    if (!isRequired())
        return true;
    return covers(known, now - m_revocationTime + clockMargin);
}

bool ConfigurationEvidence::covers(std::uint64_t known, Duration at) const
{
    return m_version != 0 && known >= m_version && m_confirmedAt > at;
}

std::optional<Milliseconds> ConfigurationEvidence::age(Duration now) const
{
    if (m_version == 0)
        return {};
    return std::chrono::ceil<Milliseconds>(now - m_confirmedAt);
}

bool ConfigurationEvidence::isAging(Duration now) const
{
    return m_version == 0 || now - m_confirmedAt > m_revocationTime / 2;
}

} // namespace Radishplank

#include <Core/LogBudget.h>

#include <algorithm>

namespace Radishplank {

namespace {

/// Minimum time between two summaries of dropped lines.
constexpr Milliseconds summaryInterval{1'000};

} // namespace

LogBudget::LogBudget(Rate ordinary, Rate failure)
    : m_ordinary(ordinary)
    , m_failure(failure)
{
}

bool LogBudget::tryConsumeLine(std::string_view event, LogImportance importance, TimePoint now)
{
    const auto &rate = importance == LogImportance::Failure ? m_failure : m_ordinary;
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket{rate.burst, now}).first;
    auto &bucket = found->second;
    const std::chrono::duration<double> elapsed = now - bucket.refilledAt;
    bucket.lines = std::min(rate.burst, bucket.lines + elapsed.count() * rate.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.lines < 1) {
        countDroppedLine(event);
        return false;
    }
    bucket.lines -= 1;
    return true;
}

std::vector<LogBudget::DroppedLines> LogBudget::takeDroppedLines(TimePoint now)
{
    if (m_dropped.empty() || now - m_summarizedAt < summaryInterval)
        return {};
    m_summarizedAt = now;
    std::vector<DroppedLines> result;
    for (const auto &[event, lines] : m_dropped)
        result.push_back({event, lines});
    m_dropped.clear();
    return result;
}

} // namespace Radishplank

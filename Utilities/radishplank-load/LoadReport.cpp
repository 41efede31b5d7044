#include "LoadReport.h"

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns exact quantiles; a replay is short enough to keep all samples.
boost::json::object quantiles(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto rank = std::ceil(share * static_cast<double>(values.size()));
        return values[std::max<std::size_t>(1, static_cast<std::size_t>(rank)) - 1];
    };
    return {{"p50", at(0.5)}, {"p95", at(0.95)}, {"p99", at(0.99)}, {"max", values.back()}};
}

} // namespace

boost::json::object LoadReport::toJson() const
{
    std::vector<double> timesToFirstToken;
    std::vector<double> totalTimes;
    std::uint64_t wrong = 0;
    std::uint64_t truncated = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    for (const auto &sample : samples) {
        if (sample.status != 200) {
            (sample.status == 0 ? failed : refused) += 1;
            continue;
        }
        wrong += sample.content == AnswerContent::Wrong ? 1 : 0;
        truncated += sample.content == AnswerContent::Truncated ? 1 : 0;
        timesToFirstToken.push_back(milliseconds(sample.timeToFirstToken));
        if (sample.content != AnswerContent::Correct)
            continue;
        totalTimes.push_back(milliseconds(sample.totalTime));
    }
    return {{"calls", samples.size()},
            {"answered", totalTimes.size()},
            {"refused", refused},
            {"failed", failed},
            {"cutOff", truncated},
            {"wrong", wrong},
            {"seconds", milliseconds(duration) / 1000},
            {"firstTokenMs", quantiles(std::move(timesToFirstToken))},
            {"wholeAnswerMs", quantiles(std::move(totalTimes))}};
}

std::string LoadReport::toCsv() const
{
    std::string text = "offset_ms,status,first_token_ms,whole_ms\n";
    for (const auto &sample : samples) {
        text += std::to_string(static_cast<double>(sample.offset.count()) / 1000) + ","
                + std::to_string(sample.status) + ","
                + std::to_string(milliseconds(sample.timeToFirstToken)) + ","
                + std::to_string(milliseconds(sample.totalTime)) + "\n";
    }
    return text;
}

} // namespace Radishplank

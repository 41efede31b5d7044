#pragma once

#include <string_view>

namespace Radishplank {

/// Guarantee for the caller of a call that was not answered completely.
enum class Outcome {
    NotRun,  ///< No upstream has received the call, and none will.
    Ran,     ///< An upstream has processed the call, at least in part.
    Unknown, ///< The call may have run.
};

[[nodiscard]] constexpr std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Radishplank

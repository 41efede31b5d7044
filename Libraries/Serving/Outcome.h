#pragma once

#include <string_view>

namespace Radishplank {

/// What the caller of a call that was not answered in full may rely on.
enum class Outcome {
    NotRun,  ///< No upstream has seen the call, and none will.
    Ran,     ///< An upstream has worked on the call.
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

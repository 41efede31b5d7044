#pragma once

#include <Core/Clock.h>
#include <Core/Endpoint.h>
#include <Core/Result.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Radishplank {

/// Settings of a process, read from flags and environment variables and checked all at once.
///
/// A flag `--first-name` has the environment variable `RADISHPLANK_FIRST_NAME`; the flag wins.
/// The value a bound variable has before parsing is the default.
class Settings
{
public:
    using Target = std::variant<std::string *, std::uint64_t *, double *, bool *, Milliseconds *,
                                Endpoint *, std::vector<std::string> *>;
    enum class Presence { Optional, Required };
    struct Parsed
    {
        std::vector<std::string> positional;
        bool isHelpRequested = false;
    };

    /// Declares a setting. The unit is shown by --help; a list is separated by commas.
    void bind(Target target, std::string name, std::string unit, std::string help,
              Presence presence = Presence::Optional);

    /// Reads every setting; reports all faults together. Unknown flags are faults.
    Result<Parsed> parse(std::span<char *const> arguments);

    /// Returns the page that --help prints.
    [[nodiscard]] std::string helpText(std::string_view usage) const;

    /// Prints faults or the help page, if either is due; returns the exit status to end with then.
    [[nodiscard]] std::optional<int> reportErrorOrHelp(const Result<Parsed> &parsed,
                                                       std::string_view usage) const;

    /// Exit status for a command line that is wrong.
    static constexpr int usageStatus = 2;

private:
    struct Binding
    {
        Target target;
        std::string name;
        std::string unit;
        std::string help;
        Presence presence;
        std::string defaultText;
    };
    std::vector<Binding> m_bindings;
};

} // namespace Radishplank

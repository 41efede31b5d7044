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

/// Settings of a process, read from command-line flags and environment variables.
///
/// The flag `--first-name` corresponds to the environment variable `RADISHPLANK_FIRST_NAME`; the
/// flag takes precedence. A bound variable's value before parsing is its default.
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

    /// Declares a setting. --help shows the unit; list items are separated by commas.
    void bind(Target target, std::string name, std::string unit, std::string help,
              Presence presence = Presence::Optional);

    /// Reads every setting and reports all errors together. Unknown flags are errors. An empty
    /// value leaves the default of an optional setting that is not a text.
    Result<Parsed> parse(std::span<char *const> arguments);

    /// Returns the text that --help prints.
    [[nodiscard]] std::string helpText(std::string_view usage) const;

    /// Prints the parse error or the requested help and returns the exit status for the process;
    /// returns nothing if the process should continue.
    [[nodiscard]] std::optional<int> reportErrorOrHelp(const Result<Parsed> &parsed,
                                                       std::string_view usage) const;

    /// Exit status for an invalid command line.
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

#include <Core/Settings.h>

#include <Core/Findings.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <popt.h>

namespace Radishplank {

namespace {

constexpr int helpOptionValue = 1;
constexpr int firstBindingValue = 2;

std::string environmentName(std::string_view name)
{
    std::string variable = "RADISHPLANK_";
    for (const char letter : name)
        variable += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    return variable;
}

template<typename Number>
bool assignNumber(std::string_view text, Number &target)
{
    Number parsed{};
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, parsed);
    if (result.ec != std::errc() || result.ptr != end)
        return false;
    target = parsed;
    return true;
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        parts.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    }
    return parts;
}

/// Parses the text and assigns it to the bound variable; returns a message if the text is invalid.
struct Assign
{
    std::string_view text;

    std::optional<std::string> operator()(std::string *target) const
    {
        *target = text;
        return {};
    }
    std::optional<std::string> operator()(std::uint64_t *target) const
    {
        if (!assignNumber(text, *target))
            return "expected a whole number, got '" + std::string(text) + "'";
        return {};
    }
    std::optional<std::string> operator()(double *target) const
    {
        if (!assignNumber(text, *target))
            return "expected a number, got '" + std::string(text) + "'";
        return {};
    }
    std::optional<std::string> operator()(bool *target) const
    {
        if (text != "true" && text != "false")
            return "expected true or false, got '" + std::string(text) + "'";
        *target = text == "true";
        return {};
    }
    std::optional<std::string> operator()(Milliseconds *target) const
    {
        std::uint32_t count = 0;
        if (!assignNumber(text, count))
            return "expected whole milliseconds, got '" + std::string(text) + "'";
        *target = Milliseconds(count);
        return {};
    }
    std::optional<std::string> operator()(Endpoint *target) const
    {
        auto parsed = Endpoint::parse(text);
        if (parsed.isError())
            return parsed.error().message;
        *target = parsed.takeValue();
        return {};
    }
    std::optional<std::string> operator()(std::vector<std::string> *target) const
    {
        *target = splitList(text);
        return {};
    }
};

struct DescribeDefault
{
    std::string operator()(const std::string *target) const { return *target; }
    std::string operator()(const std::uint64_t *target) const { return std::to_string(*target); }
    std::string operator()(const double *target) const
    {
        std::string text = std::to_string(*target);
        text.erase(text.find_last_not_of('0') + 1);
        return text;
    }
    std::string operator()(const bool *target) const { return *target ? "true" : "false"; }
    std::string operator()(const Milliseconds *target) const
    {
        return std::to_string(target->count());
    }
    std::string operator()(const Endpoint *target) const
    {
        return target->address.empty() ? "" : target->text();
    }
    std::string operator()(const std::vector<std::string> *target) const
    {
        std::string joined;
        for (const auto &part : *target)
            joined += (joined.empty() ? "" : ",") + part;
        return joined;
    }
};

} // namespace

void Settings::bind(Target target, std::string name, std::string unit, std::string help,
                    Presence presence)
{
    std::string defaultText = std::visit(DescribeDefault{}, target);
    m_bindings.push_back({target, std::move(name), std::move(unit), std::move(help), presence,
                          std::move(defaultText)});
}

Result<Settings::Parsed> Settings::parse(std::span<char *const> arguments)
{
    std::vector<poptOption> options;
    for (std::size_t i = 0; i < m_bindings.size(); ++i) {
        poptOption option{};
        option.longName = m_bindings[i].name.c_str();
        option.argInfo = POPT_ARG_STRING;
        option.val = firstBindingValue + static_cast<int>(i);
        options.push_back(option);
    }
    poptOption help{};
    help.longName = "help";
    help.argInfo = POPT_ARG_NONE;
    help.val = helpOptionValue;
    options.push_back(help);
    options.push_back(poptOption{});

    std::vector<const char *> argumentPointers(arguments.begin(), arguments.end());
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext("radishplank", static_cast<int>(argumentPointers.size()),
                           argumentPointers.data(), options.data(), 0),
            poptFreeContext);

    Parsed parsed;
    Findings findings;
    std::vector<std::optional<std::string>> values(m_bindings.size());
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) != -1) {
        if (code < -1) {
            findings.add(poptBadOption(context.get(), 0), poptStrerror(code));
            // popt can loop forever on an option whose value is missing.
            if (code == POPT_ERROR_NOARG)
                break;
            continue;
        }
        if (code == helpOptionValue) {
            parsed.isHelpRequested = true;
            continue;
        }
        const std::unique_ptr<char, void (*)(void *)> text(poptGetOptArg(context.get()), std::free);
        values[static_cast<std::size_t>(code - firstBindingValue)] = text.get();
    }
    if (const char **rest = poptGetArgs(context.get())) {
        for (; *rest != nullptr; ++rest)
            parsed.positional.emplace_back(*rest);
    }
    if (parsed.isHelpRequested)
        return parsed;

    for (std::size_t i = 0; i < m_bindings.size(); ++i) {
        const auto &binding = m_bindings[i];
        std::string place = "--" + binding.name;
        const auto variable = environmentName(binding.name);
        if (!values[i]) {
            if (const char *text = std::getenv(variable.c_str())) {
                values[i] = text;
                place = variable;
            }
        }
        if (!values[i]) {
            if (binding.presence == Presence::Required)
                findings.add(place, "is required (or set " + variable + ")");
            continue;
        }
        // A deployment's template renders nothing for a value that its platform does not provide.
        const bool isText = std::holds_alternative<std::string *>(binding.target);
        if (values[i]->empty() && !isText && binding.presence == Presence::Optional)
            continue;
        if (const auto errorMessage = std::visit(Assign{*values[i]}, binding.target))
            findings.add(place, *errorMessage);
    }
    if (!findings.isEmpty())
        return findings.toError();
    return parsed;
}

std::optional<int> Settings::reportErrorOrHelp(const Result<Parsed> &parsed,
                                               std::string_view usage) const
{
    if (parsed.isError()) {
        std::cerr << parsed.error().message << '\n';
        return usageStatus;
    }
    if (!parsed.value().isHelpRequested)
        return {};
    std::cout << helpText(usage);
    return 0;
}

std::string Settings::helpText(std::string_view usage) const
{
    std::string text = "Usage: " + std::string(usage) + "\n\nSettings:\n";
    for (const auto &binding : m_bindings) {
        text += "  --" + binding.name + "=" + binding.unit + "\n      " + binding.help + "\n";
        text += "      environment " + environmentName(binding.name);
        if (binding.presence == Presence::Required)
            text += ", required\n";
        else if (binding.defaultText.empty())
            text += "\n";
        else
            text += ", default " + binding.defaultText + "\n";
    }
    text += "  --help\n      Prints this help.\n";
    return text;
}

} // namespace Radishplank

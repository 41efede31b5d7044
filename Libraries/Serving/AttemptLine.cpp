#include <Serving/AttemptLine.h>

#include <array>
#include <utility>

namespace Radishplank {

namespace {

constexpr std::array<std::pair<AttemptEnd, std::string_view>, 7> endNames{{
        {AttemptEnd::Complete, "complete"},
        {AttemptEnd::Preempted, "preempted"},
        {AttemptEnd::UpstreamLost, "upstream-lost"},
        {AttemptEnd::UpstreamSilent, "upstream-silent"},
        {AttemptEnd::Rejected, "rejected"},
        {AttemptEnd::Cancelled, "cancelled"},
        {AttemptEnd::DeadlinePassed, "deadline-passed"},
}};

struct ToJson
{
    boost::json::object operator()(const TokenLine &line) const { return {{"t", line.text}}; }
    boost::json::object operator()(const AnswerLine &line) const
    {
        return {{"status", line.status},
                {"type", line.contentType},
                {"body", encodeBase64(line.body)}};
    }
    boost::json::object operator()(const HeartbeatLine &) const { return {{"heartbeat", 1}}; }
    boost::json::object operator()(const EndLine &line) const
    {
        return {{"end", attemptEndName(line.end)},
                {"outcome", outcomeName(line.outcome)},
                {"detail", line.detail},
                {"blamed", line.isBlamed}};
    }
};

Outcome parseOutcome(std::string_view name)
{
    if (name == outcomeName(Outcome::NotRun))
        return Outcome::NotRun;
    return name == outcomeName(Outcome::Ran) ? Outcome::Ran : Outcome::Unknown;
}

Result<AttemptLine> parseEnd(const boost::json::object &object)
{
    const auto name = textField(object, "end").value_or("");
    for (const auto &[end, endName] : endNames) {
        if (endName != name)
            continue;
        EndLine line;
        line.end = end;
        line.outcome = parseOutcome(textField(object, "outcome").value_or(""));
        line.detail = textField(object, "detail").value_or("");
        const auto *blamed = object.if_contains("blamed");
        line.isBlamed = blamed != nullptr && blamed->is_bool() && blamed->as_bool();
        return AttemptLine(line);
    }
    return Error{ErrorKind::InvalidInput, "unknown end '" + name + "' of an attempt"};
}

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    for (const auto &[each, name] : endNames) {
        if (each == end)
            return name;
    }
    return "";
}

std::string serializeLine(const AttemptLine &line)
{
    return boost::json::serialize(std::visit(ToJson{}, line)) + "\n";
}

Result<AttemptLine> parseLine(std::string_view text)
{
    const auto object = TRY(parseJsonObject(text, DuplicateFields::LastCounts));
    if (auto token = textField(object, "t"))
        return AttemptLine(TokenLine{std::move(*token)});
    if (object.contains("heartbeat"))
        return AttemptLine(HeartbeatLine{});
    if (object.contains("end"))
        return parseEnd(object);
    const auto body = decodeBase64(textField(object, "body").value_or(""));
    if (!object.contains("status") || body.isError())
        return Error{ErrorKind::InvalidInput, "unknown line of an attempt"};
    return AttemptLine(AnswerLine{static_cast<unsigned>(integerField(object, "status", 500)),
                                  textField(object, "type").value_or(""), body.value()});
}

} // namespace Radishplank

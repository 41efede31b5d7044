#include <Serving/AttemptMessage.h>

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
    boost::json::object operator()(const TokenMessage &message) const
    {
        return {{"t", message.text}};
    }
    boost::json::object operator()(const AnswerMessage &message) const
    {
        return {{"status", message.status},
                {"type", message.contentType},
                {"body", encodeBase64(message.body)}};
    }
    boost::json::object operator()(const HeartbeatMessage &) const { return {{"heartbeat", 1}}; }
    boost::json::object operator()(const EndMessage &message) const
    {
        return {{"end", attemptEndName(message.end)},
                {"outcome", outcomeName(message.outcome)},
                {"detail", message.detail},
                {"blamed", message.mayHaveCausedCrash}};
    }
};

Outcome parseOutcome(std::string_view name)
{
    if (name == outcomeName(Outcome::NotRun))
        return Outcome::NotRun;
    return name == outcomeName(Outcome::Ran) ? Outcome::Ran : Outcome::Unknown;
}

Result<AttemptMessage> parseEnd(const boost::json::object &object)
{
    const auto name = textField(object, "end").value_or("");
    for (const auto &[end, endName] : endNames) {
        if (endName != name)
            continue;
        EndMessage message;
        message.end = end;
        message.outcome = parseOutcome(textField(object, "outcome").value_or(""));
        message.detail = textField(object, "detail").value_or("");
        const auto *blamed = object.if_contains("blamed");
        message.mayHaveCausedCrash = blamed != nullptr && blamed->is_bool() && blamed->as_bool();
        return AttemptMessage(message);
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

std::string serializeAttemptMessage(const AttemptMessage &message)
{
    return boost::json::serialize(std::visit(ToJson{}, message)) + "\n";
}

Result<AttemptMessage> parseAttemptMessage(std::string_view text)
{
    const auto object = TRY(parseJsonObject(text, DuplicateFields::LastWins));
    if (auto token = textField(object, "t"))
        return AttemptMessage(TokenMessage{std::move(*token)});
    if (object.contains("heartbeat"))
        return AttemptMessage(HeartbeatMessage{});
    if (object.contains("end"))
        return parseEnd(object);
    const auto body = decodeBase64(textField(object, "body").value_or(""));
    if (!object.contains("status") || body.isError())
        return Error{ErrorKind::InvalidInput, "unknown line of an attempt"};
    return AttemptMessage(AnswerMessage{static_cast<unsigned>(integerField(object, "status", 500)),
                                        textField(object, "type").value_or(""), body.value()});
}

} // namespace Radishplank

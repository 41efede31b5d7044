#pragma once

#include <Core/Core.h>
#include <Serving/Outcome.h>

#include <optional>
#include <string>
#include <variant>

namespace Radishplank {

/// A part of a model's answer.
struct TokenMessage
{
    std::string text;
};

/// The complete answer of a plain service.
struct AnswerMessage
{
    unsigned status = 200;
    std::string contentType;
    std::string body;
};

/// Sent when there is nothing else to send, to show that the connection is alive.
struct HeartbeatMessage
{
};

enum class AttemptEnd {
    Complete,       ///< The upstream has sent its complete answer.
    Preempted,      ///< Online work preempted the item; its output is valid and can be resumed.
    UpstreamLost,   ///< The upstream closed the connection, or could not be reached.
    UpstreamSilent, ///< The upstream made no progress within the timeout.
    Rejected,       ///< The upstream rejected the request itself.
    Cancelled,      ///< Cancelled by the entry process, or no client read the answer.
    DeadlinePassed,
};

/// The last message of an attempt.
struct EndMessage
{
    AttemptEnd end = AttemptEnd::Complete;
    Outcome outcome = Outcome::Ran;
    std::string detail;
    /// The upstream crashed and this attempt may have caused it.
    bool mayHaveCausedCrash = false;
};

using AttemptMessage = std::variant<TokenMessage, AnswerMessage, HeartbeatMessage, EndMessage>;

/// Serializes one message of the stream from an agent to an entry process, including the newline.
[[nodiscard]] std::string serializeAttemptMessage(const AttemptMessage &message);
[[nodiscard]] Result<AttemptMessage> parseAttemptMessage(std::string_view text);

[[nodiscard]] std::string_view attemptEndName(AttemptEnd end);

/// Names of the header fields exchanged between entry processes and agents.
namespace AttemptHeader {
inline constexpr std::string_view secret = "Radishplank-Secret";
inline constexpr std::string_view incarnation = "Radishplank-Incarnation";
inline constexpr std::string_view workClass = "Radishplank-Class";
inline constexpr std::string_view suspect = "Radishplank-Suspect";
inline constexpr std::string_view deadline = "Radishplank-Deadline-Ms";
inline constexpr std::string_view pool = "Radishplank-Pool";
inline constexpr std::string_view kind = "Radishplank-Kind";
inline constexpr std::string_view method = "Radishplank-Method";
inline constexpr std::string_view target = "Radishplank-Target";
inline constexpr std::string_view outcome = "Radishplank-Outcome";
inline constexpr std::string_view repeatable = "Radishplank-Repeatable";
} // namespace AttemptHeader

} // namespace Radishplank

#pragma once

#include <Limits/Limits.h>

#include <string>
#include <string_view>
#include <variant>

namespace Radishplank {

using QuotaMessage = std::variant<QuotaAsk, QuotaGrant, QuotaReceipt>;

/// Encodes a message for one datagram.
[[nodiscard]] std::string encodeQuotaMessage(const QuotaMessage &message);
/// Fails with InvalidInput if the bytes are not a valid message.
[[nodiscard]] Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes);

} // namespace Radishplank

#pragma once

#include <Core/Core.h>

#include <cstdint>
#include <vector>

namespace Radishplank {

/// Asks a home for tokens, and returns unused ones.
struct QuotaAsk
{
    struct Entry
    {
        /// Hash of the owner's name.
        std::uint64_t owner = 0;
        /// Calls that wait for a token.
        std::uint32_t waiting = 0;
        /// Tokens for calls that are expected.
        std::uint32_t ahead = 0;
        /// Tokens of earlier grants that the process will not use any more.
        std::uint32_t returned = 0;
        /// Tokens of earlier grants that were used since the last ask.
        std::uint32_t used = 0;

        bool operator==(const Entry &) const = default;
    };

    /// Random number of the asking process's run; asks of one run have ascending ids.
    std::uint64_t run = 0;
    std::uint64_t id = 0;
    std::vector<Entry> entries;

    bool operator==(const QuotaAsk &) const = default;
};

/// The answer of a home to an ask.
struct QuotaGrant
{
    struct Entry
    {
        std::uint64_t owner = 0;
        std::uint32_t granted = 0;
        /// Time until one more call would be admitted; 0 if every waiting call got a token.
        Milliseconds retryAfter{0};
        /// How long the tokens may be used after the ask was sent.
        Milliseconds lifetime{0};
        /// Whether so few members pledge to the home that it can never grant a token.
        bool hasNoShare = false;

        bool operator==(const Entry &) const = default;
    };

    /// Id of the ask.
    std::uint64_t id = 0;
    std::vector<Entry> entries;

    bool operator==(const QuotaGrant &) const = default;
};

/// Confirms to a member that a home has taken note of its report with a change of candidates.
struct QuotaReceipt
{
    /// Hash of the name of the home.
    std::uint64_t node = 0;
    /// Age of the member's process in the report.
    Milliseconds age{0};

    bool operator==(const QuotaReceipt &) const = default;
};

} // namespace Radishplank

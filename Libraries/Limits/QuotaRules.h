#pragma once

#include <Core/Core.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Radishplank {

/// Hashes of the names of the processes among which the homes of the owners' quotas are chosen.
using QuotaHomes = std::vector<std::uint64_t>;

/// Rate limit of one owner over all processes.
struct QuotaLimit
{
    /// Hash of the owner's name.
    std::uint64_t owner = 0;
    /// Requests per second; 0 for no limit.
    double rate = 0;
    /// Requests that may be admitted at once after a pause.
    double burst = 0;

    bool operator==(const QuotaLimit &) const = default;
};

/// The members that pledge their share of a quota to one home, of all members.
struct QuotaShare
{
    std::size_t pledged = 0;
    std::size_t members = 0;

    bool operator==(const QuotaShare &) const = default;
};

/// What is tolerated beyond a limit in a sliding window, and how the mechanisms divide it.
///
/// In each window at most (rate x window + burst) x (1 + overage) + slack requests may be admitted.
/// Of the overage, 0.4 covers tokens that were granted before the window and are used in it, 0.25
/// the calls admitted without an answer of the home, and 0.3 the compensation for silent members,
/// which raises the other parts as well. Of the slack, 0.9 covers the calls admitted without an
/// answer; the rest lets a home with most of the shares hold one whole token.
struct QuotaRules
{
    Duration window = std::chrono::seconds(5);
    double overage = 0.1;
    /// Requests.
    double slack = 0;

    /// Returns the factor of a limit that a home with this share hands out, at most 1.
    [[nodiscard]] double factor(const QuotaShare &share) const;
    /// Returns how many granted tokens may be unused beyond the burst, for the whole limit.
    [[nodiscard]] double heldTokens(const QuotaLimit &limit) const;
    /// Returns how long tokens may be used after the process has sent its ask.
    [[nodiscard]] Milliseconds tokenLifetime(const QuotaLimit &limit) const;
    /// Returns how many calls a process may admit per window without an answer of the home.
    [[nodiscard]] std::size_t callsWithoutHome(const QuotaLimit &limit, std::size_t members) const;

private:
    [[nodiscard]] double windowSeconds() const
    {
        return std::chrono::duration<double>(window).count();
    }
};

/// Returns the weight of a process, given by the hash of its name, for a key in rendezvous hashing.
[[nodiscard]] std::uint64_t rendezvousWeight(std::uint64_t process, std::uint64_t key);
/// Returns the home of an owner's quota among the candidates; 0 if there are none.
[[nodiscard]] std::uint64_t quotaHomeOf(std::uint64_t owner, std::span<const std::uint64_t> homes);

} // namespace Radishplank

#pragma once

#include <Limits/QuotaMessages.h>
#include <Limits/QuotaRules.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Radishplank {

/// Numbers for metrics; they only grow.
struct QuotaClientCounts
{
    std::uint64_t asks = 0;
    std::uint64_t grants = 0;
    std::uint64_t tokensGranted = 0;
    /// Answers of homes that had fewer tokens than calls waited for.
    std::uint64_t denials = 0;
    std::uint64_t callsOverQuota = 0;
    /// Calls that were admitted without waiting for a home.
    std::uint64_t callsAdmittedAtOnce = 0;
    /// Calls that were admitted without an answer of the home.
    std::uint64_t callsAdmittedWithoutHome = 0;
    /// Calls that were refused because the home did not answer.
    std::uint64_t callsRefusedWithoutHome = 0;
};

/// Decides at one process which calls of owners with a rate limit are admitted, and which tokens
/// the process asks their homes for. Times are of BootClock. Pure.
class QuotaClient
{
public:
    struct Admitted
    {
    };
    struct Refused
    {
        Milliseconds retryAfter{0};
    };
    struct Waiting
    {
        std::uint64_t ticket = 0;
    };
    using Decision = std::variant<Admitted, Refused, Waiting>;

    /// The decision on a call that has waited.
    struct Decided
    {
        std::uint64_t ticket = 0;
        /// Empty if the call is admitted.
        std::optional<Milliseconds> retryAfter;
    };

    struct AddressedAsk
    {
        /// Hash of the name of the home.
        std::uint64_t home = 0;
        QuotaAsk ask;
    };

    /// `run` is a random number that distinguishes this run of the process from others.
    QuotaClient(QuotaRules rules, std::uint64_t run, Duration startedAt);

    void setLimits(std::span<const QuotaLimit> limits);
    void setHomes(QuotaHomes homes) { m_homes = std::move(homes); }
    void setMemberCount(std::size_t count) { m_memberCount = count; }

    [[nodiscard]] Decision admit(std::uint64_t owner, Duration now);
    /// Takes the token of a call back that was admitted and has not run.
    void putBack(std::uint64_t owner, Duration now);
    /// Applies the answer of a home.
    void noteGrant(const QuotaGrant &grant, Duration now);
    /// Returns the asks that are due. Must be called after admit() returned Waiting, after
    /// noteGrant(), and at short intervals while isActive().
    [[nodiscard]] std::vector<AddressedAsk> takeAsks(Duration now);
    /// Returns the decisions on waiting calls since the last call.
    [[nodiscard]] std::vector<Decided> takeDecisions(Duration now);
    /// Returns whether calls wait, or tokens are held that may have to be replaced.
    [[nodiscard]] bool isActive() const { return !m_active.empty(); }
    /// Returns homes that have not answered recently.
    [[nodiscard]] std::set<std::uint64_t> suspects(Duration now) const;
    [[nodiscard]] const QuotaClientCounts &counts() const { return m_counts; }

private:
    struct Tokens
    {
        Duration until{};
        unsigned count = 0;
    };
    struct WaitingCall
    {
        std::uint64_t ticket = 0;
        Duration since{};
    };
    struct OwnerState
    {
        QuotaLimit limit;
        /// In the order of their end.
        std::deque<Tokens> tokens;
        /// Ends of the used tokens that have not ended yet, in order.
        std::deque<Duration> used;
        /// Times of uses that no ask has reported to the home.
        std::deque<Duration> unreportedUses;
        std::deque<WaitingCall> waiting;
        /// Number of waiting calls, or expected ones, for which an ask is under way, and until when
        /// its answer is expected.
        unsigned askedWaiting = 0;
        Duration askedWaitingUntil{};
        Duration askedAheadUntil{};
        /// Time of the last denial's end; calls are refused until then.
        Duration deniedUntil{};
        /// Time given to the last refused caller.
        Duration nextRetryAt{};
        /// Arrivals by slots of a quarter of a second.
        std::array<unsigned, 4> arrivals{};
        long long arrivalSlot = 0;
        /// Tokens granted, as an average over about a second, for the pace of retries.
        double grantRate = 0;
        Duration grantRateAt{};
        /// Times of calls admitted without the home within the last window.
        std::deque<Duration> withoutHome;
        bool isWithoutShare = false;
        Duration withoutShareUntil{};
    };
    struct SentAsk
    {
        std::uint64_t home = 0;
        Duration at{};
        std::vector<QuotaAsk::Entry> entries;
    };
    struct HomeState
    {
        /// Time of the first ask since the last answer.
        std::optional<Duration> unansweredSince;
        unsigned unanswered = 0;
        Duration suspectUntil{};
        Duration lastAskAt{};
    };

    void noteArrival(OwnerState &owner, Duration now);
    [[nodiscard]] unsigned recentArrivals(OwnerState &owner, Duration now) const;
    void dropExpired(OwnerState &owner, Duration now) const;
    [[nodiscard]] static unsigned tokenCount(const OwnerState &owner);
    bool takeToken(OwnerState &owner, Duration now);
    [[nodiscard]] static unsigned reportableUses(const OwnerState &owner, Duration now);
    static void insertTokens(OwnerState &owner, unsigned count, Duration until);
    void addTokens(OwnerState &owner, unsigned count, Duration until, Duration now);
    /// Returns nothing if the call is admitted without the home, otherwise when to retry.
    [[nodiscard]] std::optional<Milliseconds> decideWithoutHome(OwnerState &owner, Duration now);
    [[nodiscard]] Milliseconds nextRetry(OwnerState &owner, Duration now);
    [[nodiscard]] bool isUnresponsive(std::uint64_t home, Duration now) const;
    void decide(const WaitingCall &call, std::optional<Milliseconds> retryAfter);
    void decideOverdue(OwnerState &owner, Duration now);
    /// Returns how many tokens the owner's next calls need.
    [[nodiscard]] unsigned target(OwnerState &owner, Duration now) const;
    /// Returns what an ask to the owner's home would contain, or nothing if none is due.
    [[nodiscard]] std::optional<QuotaAsk::Entry> dueEntry(OwnerState &owner, Milliseconds margin,
                                                          Duration now) const;
    void noteAsked(OwnerState &owner, const QuotaAsk::Entry &entry, Duration now);

    const QuotaRules m_rules;
    const std::uint64_t m_run;
    const Duration m_startedAt;
    QuotaHomes m_homes;
    std::size_t m_memberCount = 0;
    std::unordered_map<std::uint64_t, OwnerState> m_owners;
    /// Owners with waiting calls or tokens.
    std::set<std::uint64_t> m_active;
    std::unordered_map<std::uint64_t, HomeState> m_homeStates;
    std::map<std::uint64_t, SentAsk> m_sentAsks;
    std::uint64_t m_lastAskId = 0;
    std::uint64_t m_lastTicket = 0;
    std::vector<Decided> m_decided;
    QuotaClientCounts m_counts;
};

} // namespace Radishplank

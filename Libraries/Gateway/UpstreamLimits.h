#pragma once

#include <Core/Core.h>
#include <Gateway/Locality.h>
#include <Gateway/PeerReport.h>
#include <Gateway/RequestAllowance.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// One start of an upstream.
struct UpstreamStart
{
    /// Hash of the upstream's name, as upstreamHash() gives it.
    std::uint64_t upstream = 0;
    std::int64_t startedAt = 0;
};

/// An entry process among which the rates of limited upstreams are divided.
struct LimitMember
{
    /// Hash of the process's name, as nodeHash() gives it.
    std::uint64_t node = 0;
    ZoneName zone;

    bool operator==(const LimitMember &) const = default;
};

/// What a process has to send to an upstream; calls go before items.
enum class RequestNeed { None, Items, Calls };

struct PeerNeed
{
    /// Hash of the process's name, as nodeHash() gives it.
    std::uint64_t node = 0;
    RequestNeed need = RequestNeed::None;
};

/// Divides the request rates that upstreams ask for among the entry processes. Pure.
///
/// An upstream that names a limit is used by a few processes only, near ones first, each with an
/// equal part of its rate. They follow from the members, so nothing is agreed on for each request.
/// They grant requests of their parts to processes that need some and have no part. When the limit
/// ends, the rate grows for a few seconds before it is unlimited again.
class UpstreamLimits
{
public:
    UpstreamLimits(std::uint64_t self, Locality locality);

    /// Sets the other processes that are alive, and the number of all processes; 0 if unknown.
    void setMembers(std::span<const LimitMember> others, std::size_t processCount);

    /// Whether an answer shows that the upstream has run the request.
    enum class AnswerKind { Success, Other };
    /// Notes the requests per second that an answer names, if any, and when its request was sent.
    /// Returns whether the upstream has become limited or is no longer.
    bool noteAnswer(const UpstreamStart &from, std::optional<double> perSecond, AnswerKind kind,
                    TimePoint sentAt, TimePoint now);
    /// Applies what a peer has learnt from answers.
    void applyReport(std::span<const UpstreamLimitReport> limits, TimePoint now);
    /// Returns what this process has learnt from answers, for a report.
    [[nodiscard]] std::vector<UpstreamLimitReport> report(TimePoint now) const;

    /// Returns how long this process must wait before it sends the next request to an upstream in
    /// the given zone; nothing if the upstream has no limit. Positive if it may not send one now.
    [[nodiscard]] std::optional<Duration> waitTime(const UpstreamStart &upstream,
                                                   const ZoneName &zone, TimePoint now);
    /// Returns whether the wait is an estimate, as a peer may grant a request at any moment.
    [[nodiscard]] bool mayBeGranted(const UpstreamStart &upstream) const;
    /// Counts a request that is sent now.
    void noteSent(const UpstreamStart &upstream, TimePoint now);
    /// Grants requests to peers that need them, if this process has a part of the upstream's rate.
    /// Otherwise notes how long its own need has not been met. To be called several times a second;
    /// returns whether there are new grants.
    bool serveNeeds(const UpstreamStart &upstream, const ZoneName &zone, RequestNeed own,
                    std::span<const PeerNeed> peers, TimePoint now);
    /// Applies a peer's grants; those for other processes are ignored.
    void applyGrants(std::span<const RequestGrant> grants, TimePoint now);
    /// Returns the grants that the next reports have to contain.
    [[nodiscard]] std::vector<RequestGrant> grantsToReport(TimePoint now);
    /// Returns whether requests to an upstream are limited: also for a while after the end of its
    /// limit.
    [[nodiscard]] bool isRestricted(const UpstreamStart &upstream, TimePoint now) const;
    /// Returns whether requests to any upstream are limited.
    [[nodiscard]] bool isAnyRestricted(TimePoint now) const;

    /// Returns the requests per second that the upstream names at present, if it does.
    [[nodiscard]] std::optional<double> limitOf(const UpstreamStart &upstream) const;

private:
    struct Limit
    {
        std::int64_t startedAt = 0;
        double perSecond = 0;
        bool hasEnded = false;
        /// When the upstream named the limit last, or when its end showed, as far as known.
        TimePoint notedAt{};
        /// Whether an answer to this process said so.
        bool isFirstHand = false;
        /// Requests of this process's part of the rate.
        RequestAllowance allowance;
        /// The processes that have a part of the rate, for the members of this version; sorted.
        std::vector<std::uint64_t> holders = {};
        bool hasPart = false;
        /// Whether this process has been given its place among the holders in time.
        bool isStaggered = false;
        std::uint64_t membersVersion = 0;
        /// When each process got its latest grant from any other, as far as known.
        std::unordered_map<std::uint64_t, TimePoint> grantedAt = {};
        std::size_t grantCount = 0;
        /// Until when each unused request may be sent that peers have granted; the earliest first.
        std::deque<TimePoint> granted = {};
        /// Since when this process has needed requests without having sent one.
        std::optional<TimePoint> unmetSince = {};
        /// When this process sends a request that no peer has granted.
        TimePoint unaidedRequestAt = TimePoint::max();
        /// Number of processes whose calls need requests, including this one.
        double processesWithCalls = 1;

        [[nodiscard]] double rate() const;
        [[nodiscard]] bool isHolder(std::uint64_t node) const;
    };

    /// Returns the limit of this start of an upstream in m_limits; null if there is none.
    template<typename Limits>
    [[nodiscard]] static auto *findIn(Limits &limits, const UpstreamStart &upstream);
    [[nodiscard]] static bool isRestricting(const Limit &limit, TimePoint now);
    void set(const UpstreamLimitReport &limit, TimePoint notedAt, bool isFirstHand, TimePoint now);
    /// Determines who has a part of the rate, and this process's part.
    void divide(Limit &limit, std::uint64_t upstream, const ZoneName &zone, TimePoint now) const;
    /// Returns the first `count` processes to get a part of the rate; sorted.
    [[nodiscard]] std::vector<std::uint64_t>
    chooseHolders(std::size_t count, std::uint64_t upstream, const ZoneName &zone) const;
    [[nodiscard]] bool isMember(std::uint64_t node) const;
    /// Returns the position of this process among the holders of a limit.
    [[nodiscard]] std::size_t positionIn(const Limit &limit) const;
    /// Grants requests of this process's part to peers in need; returns whether it has.
    bool grant(Limit &limit, const UpstreamStart &upstream, RequestNeed own,
               std::span<const PeerNeed> peers, TimePoint now);
    /// Returns which of the processes in need gets the next request; reorders them.
    [[nodiscard]] std::uint64_t chooseGrantee(const Limit &limit,
                                              std::span<std::uint64_t> recipients) const;
    /// Determines when this process, which has no part of the rate, stops waiting for a grant.
    void scheduleUnaidedRequest(Limit &limit, RequestNeed own, std::span<const PeerNeed> peers,
                                TimePoint now) const;

    const Locality m_locality;
    const LimitMember m_self;
    std::vector<LimitMember> m_others;
    std::size_t m_processCount = 0;
    std::uint64_t m_membersVersion = 1;
    std::unordered_map<std::uint64_t, Limit> m_limits;
    struct SentGrant
    {
        RequestGrant grant;
        TimePoint at;
    };
    /// Grants that reports repeat.
    std::deque<SentGrant> m_sentGrants;
    /// When each recent grant to this process arrived, by its id.
    std::unordered_map<std::uint64_t, TimePoint> m_receivedGrants;
};

} // namespace Radishplank

#pragma once

#include <Core/Core.h>
#include <Gateway/Locality.h>
#include <Gateway/PeerReport.h>
#include <Serving/TokenBucket.h>

#include <cstdint>
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

/// Divides the request rates that upstreams ask for among the entry processes. Pure.
///
/// An upstream that names a limit is used by a few processes only, near ones first, each with an
/// equal part of its rate. They follow from the members, so nothing is agreed on for each request.
/// When the limit ends, the rate grows for a few seconds before it is unlimited again.
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
    /// the given zone; nothing if the upstream has no limit, and Duration::max() if only other
    /// processes use it.
    [[nodiscard]] std::optional<Duration> waitTime(const UpstreamStart &upstream,
                                                   const ZoneName &zone, TimePoint now);
    /// Counts a request that is sent now.
    void noteSent(const UpstreamStart &upstream, TimePoint now);
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
        /// Requests that this process may send.
        TokenBucket allowance;
        /// Whether this process uses the upstream, for the members of this version.
        bool isUser = false;
        std::uint64_t membersVersion = 0;
    };

    /// Returns the limit of this start of an upstream in m_limits; null if there is none.
    template<typename Limits>
    [[nodiscard]] static auto *findIn(Limits &limits, const UpstreamStart &upstream);
    /// Returns whether the limit still restricts requests: also for a while after its end.
    [[nodiscard]] static bool isRestricting(const Limit &limit, TimePoint now);
    void set(const UpstreamLimitReport &limit, TimePoint notedAt, bool isFirstHand, TimePoint now);
    /// Determines this process's part of the rate.
    void divide(Limit &limit, std::uint64_t upstream, const ZoneName &zone, TimePoint now) const;
    /// Returns how many other processes use the upstream rather than this one.
    [[nodiscard]] std::size_t membersBefore(std::uint64_t upstream, const ZoneName &zone) const;

    const Locality m_locality;
    const LimitMember m_self;
    std::vector<LimitMember> m_others;
    std::size_t m_processCount = 0;
    std::uint64_t m_membersVersion = 1;
    std::unordered_map<std::uint64_t, Limit> m_limits;
};

} // namespace Radishplank

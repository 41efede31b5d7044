#pragma once

#include <Core/Core.h>
#include <Gateway/UpstreamInfo.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Radishplank {

/// A crash of an upstream while it ran a call, as reported between entry processes.
struct UpstreamCrash
{
    /// Fingerprint of the call, from callFingerprint().
    std::uint64_t call = 0;
    /// Hash of the upstream's start, from upstreamStartHash().
    std::uint64_t upstreamStart = 0;
    /// Identifies the observation by one process, so that repeated reports of it count once.
    std::uint64_t observation = 0;
    Milliseconds age{0};
};

/// What a process reports to its peers about calls that crashed upstreams.
struct CrashReport
{
    std::vector<UpstreamCrash> crashes;
    /// Fingerprints of calls that have received a whole answer since.
    std::vector<std::uint64_t> answered;
};

/// Returns a hash that identifies one start of an upstream.
[[nodiscard]] std::uint64_t upstreamStartHash(const UpstreamInfo &upstream);

/// Tracks which upstreams crashed while they ran which calls, at this process and its peers, and
/// decides which calls to refuse because every upstream that runs them crashes. Thread-safe.
///
/// It stops a caller that sends such a call repeatedly, to any process, from taking down one
/// upstream after another, and does not blame calls for crashes that have other causes.
class CrashTracker
{
public:
    /// Upstreams that a call may crash, at separate times, before it is refused.
    static constexpr std::size_t isolatedCrashesToRefuse = 3;
    /// The limit if other upstreams crashed at the same times, so that there may have been another
    /// cause.
    static constexpr std::size_t crashesToRefuse = 5;
    /// How long a crash is reported to peers: for more than two full reports, as one can be lost.
    static constexpr Milliseconds reportDuration{1'300};
    static constexpr std::size_t maxReportedCrashes = 32;

    CrashTracker(Duration retention, std::size_t maxCalls);

    /// Called without the lock held when a crash should be reported to peers without delay.
    std::function<void()> onUrgentReport;

    /// Records that an upstream crashed while it ran a call of this process.
    void noteCrash(std::uint64_t call, const UpstreamInfo &upstream, TimePoint at);
    /// Records that a call has received a whole answer, so that it is not what crashes upstreams.
    void noteAnswered(std::uint64_t call, TimePoint at);
    /// Returns how much longer a call is refused, or nothing if it is not refused.
    [[nodiscard]] std::optional<Duration> remainingRefusal(std::uint64_t call, TimePoint now) const;
    [[nodiscard]] std::size_t refusedCalls(TimePoint now) const;

    /// Returns what to send to peers in the next full report.
    [[nodiscard]] CrashReport nextReport(TimePoint now);
    /// Adds the crashes and answered calls that a peer has reported.
    void applyReport(const CrashReport &report, TimePoint now);

private:
    struct Crash
    {
        std::uint64_t upstreamStart = 0;
        std::uint64_t observation = 0;
        TimePoint at;
        bool isOwn = false;

        /// Returns whether two observations, by two processes or two calls, are of the same crash.
        [[nodiscard]] bool isSameCrash(const Crash &other) const;
    };
    struct Record
    {
        std::vector<Crash> crashes;
        TimePoint lastCrash{};
        /// Set if a whole answer has shown that the call does not crash upstreams.
        std::optional<TimePoint> answeredAt;
        bool isAnswerOwn = false;

        [[nodiscard]] TimePoint lastUpdate() const
        {
            return std::max(lastCrash, answeredAt.value_or(TimePoint()));
        }
    };
    using Records = std::map<std::uint64_t, Record>;

    /// Returns how many upstreams the call has crashed so far.
    std::size_t add(std::uint64_t call, const Crash &crash);
    void markAnswered(std::uint64_t call, TimePoint at, bool isOwn);
    void removeExpired(TimePoint now);
    void evictLeastSuspect();
    [[nodiscard]] bool isRefused(const Record &record, TimePoint now) const;
    /// Returns whether no upstream that did not run the call crashed at about the same time.
    [[nodiscard]] bool isIsolated(const Record &record, const Crash &crash) const;

    const Duration m_retention;
    const std::size_t m_maxCalls;
    mutable std::mutex m_mutex;
    Records m_records;
    /// All crashes of upstreams, including those under calls that are no longer suspected.
    std::vector<Crash> m_allCrashes;
    /// The refused call that was reported last.
    std::uint64_t m_lastRefusedReported = 0;
};

} // namespace Radishplank

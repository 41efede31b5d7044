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

/// An upstream that ended while it ran a call, as entry processes tell each other.
struct UpstreamCrash
{
    /// As callFingerprint() gives it.
    std::uint64_t call = 0;
    /// As upstreamStartHash() gives it.
    std::uint64_t upstreamStart = 0;
    /// Names what one process has seen, so that hearing of it again counts once.
    std::uint64_t observation = 0;
    Milliseconds age{0};
};

/// What a process tells its peers about calls under which upstreams have ended.
struct CrashNews
{
    std::vector<UpstreamCrash> crashes;
    /// Fingerprints of calls that have had a whole answer since.
    std::vector<std::uint64_t> answered;
};

/// Names one start of an upstream.
[[nodiscard]] std::uint64_t upstreamStartHash(const UpstreamInfo &upstream);

/// Remembers which upstreams ended under which calls, here and at the peers, and tells which calls
/// are to be refused because each upstream that runs them ends. Thread-safe.
///
/// Answers the load of a caller that sends such a call again and again, to any process, among
/// crashes that have other causes.
class CrashLedger
{
public:
    /// Upstreams that a call may end, one by one, before it is refused.
    static constexpr std::size_t loneCrashesToRefuse = 3;
    /// The same where other upstreams ended at those moments too, so that there may have been
    /// another cause.
    static constexpr std::size_t crashesToRefuse = 5;
    /// How long a crash is told to peers: over two full reports, as one can be lost.
    static constexpr Milliseconds tellingTime{1'300};
    static constexpr std::size_t maxCrashesTold = 32;

    CrashLedger(Duration memory, std::size_t maxCalls);

    /// Called, outside the lock, when peers should know of a crash without delay.
    std::function<void()> onUrgentNews;

    /// Notes that an upstream ended while it ran a call of this process.
    void noteCrash(std::uint64_t call, const UpstreamInfo &upstream, TimePoint at);
    /// Notes that a call has had a whole answer, so that it ends no upstreams.
    void noteAnswered(std::uint64_t call, TimePoint at);
    /// Returns how long a call is still refused, or nothing.
    [[nodiscard]] std::optional<Duration> refusedFor(std::uint64_t call, TimePoint now) const;
    [[nodiscard]] std::size_t refusedCalls(TimePoint now) const;

    /// Returns what to tell peers in the next full report.
    [[nodiscard]] CrashNews takeNews(TimePoint now);
    /// Takes in what a peer tells.
    void take(const CrashNews &news, TimePoint now);

private:
    struct Crash
    {
        std::uint64_t upstreamStart = 0;
        std::uint64_t observation = 0;
        TimePoint at;
        bool isOwn = false;

        /// Tells whether two processes, or two calls, have seen the same end.
        [[nodiscard]] bool isSameEnd(const Crash &other) const;
    };
    struct Record
    {
        std::vector<Crash> crashes;
        TimePoint lastCrash{};
        /// Set if the call has been found not to end upstreams.
        std::optional<TimePoint> answeredAt;
        bool isAnswerOwn = false;

        [[nodiscard]] TimePoint lastUse() const
        {
            return std::max(lastCrash, answeredAt.value_or(TimePoint()));
        }
    };
    using Records = std::map<std::uint64_t, Record>;

    /// Returns how many upstreams the call has ended by now.
    std::size_t add(std::uint64_t call, const Crash &crash);
    void clear(std::uint64_t call, TimePoint at, bool isOwn);
    void forgetOld(TimePoint now);
    void forgetLeastSuspect();
    [[nodiscard]] bool isRefused(const Record &record, TimePoint now) const;
    /// Tells whether no upstream on which the call did not run ended at about that time.
    [[nodiscard]] bool isLone(const Record &record, const Crash &crash) const;

    const Duration m_memory;
    const std::size_t m_maxCalls;
    mutable std::mutex m_mutex;
    Records m_records;
    /// All ends of upstreams, of calls that are no longer suspected as well.
    std::vector<Crash> m_ends;
    /// The call that was told last of those that are refused.
    std::uint64_t m_lastRefusedTold = 0;
};

} // namespace Radishplank

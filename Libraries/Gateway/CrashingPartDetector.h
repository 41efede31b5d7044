#pragma once

#include <Core/Core.h>
#include <Gateway/PromptParts.h>
#include <Gateway/UpstreamInfo.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// Who sends a call: a caller who waits for it, or a batch job.
enum class CallSource { Caller, Item };

/// A call that an upstream had not begun to answer when it crashed, as reported between entry
/// processes.
struct SuspectCall
{
    /// The shared parts of its prompt that no later answer has cleared.
    PromptParts parts;
    /// Hash of the upstream's start, from upstreamStartHash().
    std::uint64_t upstreamStart = 0;
    /// Identifies the observation, so that repeated reports of it count once.
    std::uint64_t observation = 0;
    Milliseconds age{0};
    CallSource source = CallSource::Caller;
};

/// A part that an upstream has answered although it was suspected.
struct ClearedPart
{
    std::uint64_t part = 0;
    /// Time since that answer began.
    Milliseconds age{0};
};

/// Parts that crash upstreams. If there are several, one of them does, and all calls so far that
/// had one had the others too.
struct BlockedParts
{
    PromptParts parts;
    /// Time since the first crash that counts against them.
    Milliseconds age{0};
    /// Time until a call with these parts may be tried again.
    Milliseconds remaining{0};
    /// For how many times the first duration the parts are blocked.
    unsigned level = 1;
    /// Only items crashed upstreams, so calls of callers are admitted.
    bool isForItemsOnly = false;
    /// Items that were tried since and crashed their upstreams.
    unsigned failedItemTrials = 0;
    /// Time until the next item may be tried, if the sender has just tried one; otherwise 0.
    Milliseconds itemTrialRemaining{0};
};

/// What a process reports to its peers about parts of prompts.
struct CrashingPartReport
{
    std::vector<SuspectCall> suspects;
    std::vector<ClearedPart> cleared;
    std::vector<BlockedParts> blocked;
};

/// Finds the parts of prompts that crash every upstream that begins to answer a call with them, at
/// this process and its peers, and decides which calls to refuse. Thread-safe.
///
/// A part is blocked if every call with it was followed by a crash, several times in a row, while
/// other calls were answered; see judge(). An answer that begins to arrive clears all parts of its
/// call at once.
///
/// Calls of callers are refused for the time of a block, unless only items crashed. Items are still
/// owed and usually sound, so a block only paces them: one item of all processes is tried at a
/// time, after a pause that grows with each failed trial.
class CrashingPartDetector
{
public:
    /// Crashes in a row after which a part can be blocked.
    static constexpr std::size_t minCrashes = 4;
    /// Minimum time from the first to the last of these crashes: a full report of each peer, which
    /// may clear the part, arrives in between.
    static constexpr Milliseconds minEvidenceSpan{500};
    /// How long an observation is reported to peers: for more than two full reports, as one can be
    /// lost.
    static constexpr Milliseconds reportDuration{1'300};
    /// Limits of one report, which must fit into a datagram.
    static constexpr std::size_t maxReportedParts = 1'024;
    static constexpr std::size_t maxSuspectCalls = 128;
    static constexpr std::size_t maxBlocks = 64;
    /// Pause before the first trial of an item, and the factor by which each failed one extends it.
    static constexpr Milliseconds minItemPause{1'000};
    static constexpr unsigned itemPauseFactor = 4;
    /// An item whose trials fail is tried at least every 20 s, so that it is not left behind.
    static constexpr Milliseconds maxItemPause{16'000};

    /// `maxTrialDelay` spreads the trials of the processes, so that mostly one process tries.
    CrashingPartDetector(Duration blockTime, Duration maxTrialDelay);

    /// Called without the lock held when peers should be informed without delay.
    std::function<void()> onUrgentReport;

    /// Records that an upstream crashed before it had begun to answer a call of this process.
    void noteCrash(std::span<const std::uint64_t> parts, const UpstreamInfo &upstream, TimePoint at,
                   CallSource source = CallSource::Caller);
    /// Records that an upstream has begun to answer a call and went on.
    void noteAnswering(std::span<const std::uint64_t> parts, TimePoint beganAt, TimePoint now);
    /// Returns how long to refuse a caller's call with these parts, or nothing if it may be sent.
    /// When a block has lapsed, admits one call at a time until the block is lifted or renewed.
    [[nodiscard]] std::optional<Duration> refusal(std::span<const std::uint64_t> parts,
                                                  TimePoint now);
    /// Returns how long an item with these parts must wait, or nothing if it may be sent.
    [[nodiscard]] std::optional<Duration> itemDelay(std::span<const std::uint64_t> parts,
                                                    TimePoint now) const;
    /// Records that an item is sent: if its parts are blocked, it is a trial, and no process should
    /// start another one now.
    void noteItemSent(std::span<const std::uint64_t> parts, TimePoint now);
    [[nodiscard]] std::size_t blockCount(TimePoint now) const;

    /// Returns what to send to peers in the next full report.
    [[nodiscard]] CrashingPartReport nextReport(TimePoint now);
    void applyReport(const CrashingPartReport &report, TimePoint now);

private:
    struct Evidence
    {
        /// Parts that no later answer has cleared. A call without any is kept to estimate how often
        /// calls are cut short by crashes.
        PromptParts parts;
        std::uint64_t upstreamStart = 0;
        std::uint64_t observation = 0;
        TimePoint at;
        bool isOwn = false;
        CallSource source = CallSource::Caller;
        /// The same for all observations of one crash; local to this process.
        std::uint64_t crash = 0;
        /// Number of calls answered at this process before.
        std::uint64_t answersBefore = 0;
    };
    struct Block
    {
        /// Sorted.
        PromptParts parts;
        TimePoint firstCrash;
        TimePoint until;
        /// Time until which no further trial starts.
        TimePoint nextTrial;
        unsigned level = 1;
        bool isForItemsOnly = false;
        unsigned failedItemTrials = 0;
        TimePoint nextItemTrial;
        /// When this process last tried an item; nothing once the trial has failed.
        std::optional<TimePoint> itemTrialBegan;
        /// Time until which reports tell peers when the next item may be tried.
        TimePoint itemTrialReportedUntil;
    };
    /// The case against one part.
    struct Suspicion
    {
        std::set<std::uint64_t> crashes;
        TimePoint first = TimePoint::max();
        TimePoint last{};
        std::uint64_t answersBefore = 0;
    };

    /// Returns whether peers should be informed without delay.
    bool addEvidence(Evidence evidence, TimePoint now);
    /// Blocks the parts that explain the crashes; returns whether there are any.
    bool judge(TimePoint now);
    using CrashSet = std::set<std::uint64_t>;
    /// Returns the crashes of upstreams that ran a call with blocked parts.
    [[nodiscard]] CrashSet explainedCrashes() const;
    [[nodiscard]] std::map<std::uint64_t, Suspicion> suspicions(const CrashSet &explained) const;
    /// Returns the parts that all unexplained calls with this part have, including itself.
    [[nodiscard]] PromptParts companions(std::uint64_t part, const CrashSet &explained) const;
    [[nodiscard]] bool isConvincing(const Suspicion &suspicion, const CrashSet &explained,
                                    std::size_t suspects) const;
    void block(PromptParts parts, TimePoint firstCrash, TimePoint now);
    /// Adds a block that own evidence or a peer's report has shown.
    void addBlock(Block added, std::string_view from, TimePoint now);
    /// Applies a crash to a block whose parts its call had; returns whether peers should be
    /// informed without delay.
    bool updateBlock(Block &block, const Evidence &evidence, TimePoint now) const;
    void applyBlock(const BlockedParts &blocked, PromptParts parts, TimePoint now);
    /// Returns whether the part was suspected or blocked.
    bool clear(std::uint64_t part, TimePoint beganAt);
    /// Includes the part in the next reports as cleared.
    void reportCleared(std::uint64_t part, TimePoint beganAt, TimePoint now);
    void rememberAnswer(std::uint64_t part, TimePoint beganAt);
    [[nodiscard]] std::optional<TimePoint> lastAnswer(std::uint64_t part) const;
    void removeExpired(TimePoint now);

    const Duration m_blockTime;
    const Duration m_trialDelay;
    /// Spreads the trials of items over the processes.
    const Duration m_itemTrialDelay;
    mutable std::mutex m_mutex;
    /// Oldest first.
    std::vector<Evidence> m_evidence;
    std::vector<Block> m_blocks;
    std::uint64_t m_lastCrash = 0;
    std::uint64_t m_answers = 0;
    /// Parts cleared by this process that are still reported: when the answer began, and the end of
    /// the reports.
    std::map<std::uint64_t, std::pair<TimePoint, TimePoint>> m_cleared;
    /// When the last answer to a call with each part began. The older map is dropped when the newer
    /// one is full.
    using Answers = std::unordered_map<std::uint64_t, TimePoint>;
    Answers m_recentAnswers;
    Answers m_olderAnswers;
    /// Where the next report starts if there are more blocks than fit.
    std::size_t m_nextReportedBlock = 0;
};

} // namespace Radishplank

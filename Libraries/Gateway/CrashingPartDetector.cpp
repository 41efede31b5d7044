#include <Gateway/CrashingPartDetector.h>

#include <Gateway/CrashTracker.h>

#include <algorithm>
#include <cmath>

namespace Radishplank {

namespace {

/// Observations of one crash by several processes lie within this time of each other.
constexpr Milliseconds sameCrashWindow{250};
/// A trial that has neither crashed its upstream nor been answered by then has not run.
constexpr Milliseconds trialTime{2'000};
/// Parts are blocked if any sound part would see as many crashes with at most this probability.
constexpr double maxFalseBlockProbability = 0.001;
/// Time before the first crash under a part in which other crashes count too.
constexpr Milliseconds comparisonTime{5'000};
/// A part that keeps crashing upstreams is blocked for at most this many times the first duration.
constexpr unsigned maxBlockFactor = 8;
/// Longer than a report takes to reach all peers.
constexpr Milliseconds maxItemTrialDelay{400};
constexpr std::size_t maxRememberedAnswers = 2'048;
constexpr std::size_t maxClearedParts = 256;

bool contains(std::span<const std::uint64_t> parts, std::uint64_t part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool containsAll(std::span<const std::uint64_t> parts, std::span<const std::uint64_t> wanted)
{
    return std::all_of(wanted.begin(), wanted.end(),
                       [&](auto part) { return contains(parts, part); });
}

Milliseconds milliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

Duration randomDelay(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(
            0, std::max<Duration::rep>(longest.count(), 0))(threadRandomEngine()));
}

Milliseconds itemPause(unsigned failedTrials)
{
    auto pause = CrashingPartDetector::minItemPause;
    for (unsigned i = 0; i < failedTrials && pause < CrashingPartDetector::maxItemPause; ++i)
        pause *= CrashingPartDetector::itemPauseFactor;
    return std::min(pause, CrashingPartDetector::maxItemPause);
}

} // namespace

CrashingPartDetector::CrashingPartDetector(Duration blockTime, Duration maxTrialDelay)
    : m_blockTime(blockTime)
    , m_trialDelay(randomDelay(maxTrialDelay))
    , m_itemTrialDelay(randomDelay(std::min<Duration>(maxTrialDelay, maxItemTrialDelay)))
{
}

void CrashingPartDetector::noteCrash(std::span<const std::uint64_t> parts,
                                     const UpstreamInfo &upstream, TimePoint at, CallSource source)
{
    if (parts.empty())
        return;
    bool isUrgent = false;
    {
        const std::scoped_lock lock(m_mutex);
        removeExpired(at);
        Evidence evidence{{parts.begin(), parts.end()},
                          upstreamStartHash(upstream),
                          threadRandomEngine()(),
                          at,
                          true,
                          source};
        isUrgent = addEvidence(std::move(evidence), at);
    }
    if (isUrgent && onUrgentReport)
        onUrgentReport();
}

bool CrashingPartDetector::addEvidence(Evidence evidence, TimePoint now)
{
    const auto isSameCrash = [&](const Evidence &other) {
        const auto gap = other.at < evidence.at ? evidence.at - other.at : other.at - evidence.at;
        return other.upstreamStart == evidence.upstreamStart && gap <= sameCrashWindow;
    };
    const auto same = std::find_if(m_evidence.begin(), m_evidence.end(), isSameCrash);
    evidence.crash = same == m_evidence.end() ? ++m_lastCrash : same->crash;
    evidence.answersBefore = m_answers;
    bool isUrgent = false;
    for (auto &block : m_blocks) {
        if (containsAll(evidence.parts, block.parts))
            isUrgent |= updateBlock(block, evidence, now);
    }
    if (m_evidence.size() >= maxSuspectCalls) {
        const auto isCleared = [](const Evidence &other) { return other.parts.empty(); };
        const auto oldestCleared = std::find_if(m_evidence.begin(), m_evidence.end(), isCleared);
        m_evidence.erase(oldestCleared == m_evidence.end() ? m_evidence.begin() : oldestCleared);
    }
    m_evidence.push_back(std::move(evidence));
    const bool isBlocked = judge(now);
    return isUrgent || isBlocked;
}

bool CrashingPartDetector::updateBlock(Block &block, const Evidence &evidence, TimePoint now) const
{
    bool isChanged = false;
    if (evidence.source == CallSource::Caller && block.isForItemsOnly) {
        block.isForItemsOnly = false;
        isChanged = true;
    }
    if (block.until <= now) {
        // The trial after a block has failed.
        block.level = std::min(block.level * 2, maxBlockFactor);
        block.until = now + m_blockTime * block.level;
        isChanged = true;
    }
    // Items that were sent before the block say nothing about its trials.
    if (evidence.source == CallSource::Item && evidence.isOwn && block.itemTrialBegan) {
        block.itemTrialBegan.reset();
        block.failedItemTrials += 1;
        block.nextItemTrial = now + itemPause(block.failedItemTrials);
        block.itemTrialReportedUntil = now + reportDuration;
        logStateChange("item-trial-failed",
                       {{"parts", promptPartsText(block.parts)},
                        {"failed", std::to_string(block.failedItemTrials)},
                        {"pauseMs", std::to_string(itemPause(block.failedItemTrials).count())}});
        isChanged = true;
    }
    return isChanged;
}

CrashingPartDetector::CrashSet CrashingPartDetector::explainedCrashes() const
{
    CrashSet explained;
    for (const auto &evidence : m_evidence) {
        const auto isInCall
                = [&](const Block &block) { return containsAll(evidence.parts, block.parts); };
        if (std::any_of(m_blocks.begin(), m_blocks.end(), isInCall))
            explained.insert(evidence.crash);
    }
    return explained;
}

std::map<std::uint64_t, CrashingPartDetector::Suspicion>
CrashingPartDetector::suspicions(const CrashSet &explained) const
{
    std::map<std::uint64_t, Suspicion> result;
    for (const auto &evidence : m_evidence) {
        if (explained.contains(evidence.crash))
            continue;
        for (const auto part : evidence.parts) {
            auto &suspicion = result[part];
            if (evidence.at < suspicion.first) {
                suspicion.first = evidence.at;
                suspicion.answersBefore = evidence.answersBefore;
            }
            suspicion.last = std::max(suspicion.last, evidence.at);
            suspicion.crashes.insert(evidence.crash);
        }
    }
    return result;
}

PromptParts CrashingPartDetector::companions(std::uint64_t part, const CrashSet &explained) const
{
    std::optional<PromptParts> result;
    for (const auto &evidence : m_evidence) {
        if (explained.contains(evidence.crash) || !contains(evidence.parts, part))
            continue;
        if (!result)
            result = evidence.parts;
        std::erase_if(*result, [&](auto other) { return !contains(evidence.parts, other); });
    }
    return result.value_or(PromptParts());
}

bool CrashingPartDetector::isConvincing(const Suspicion &suspicion, const CrashSet &explained,
                                        std::size_t suspects) const
{
    if (suspicion.crashes.size() < minCrashes || suspicion.last - suspicion.first < minEvidenceSpan)
        return false;
    // Compares the part with the other calls of this process. If a share r of those was cut short
    // by other crashes, a sound part sees n crashes in a row with the probability r^n.
    std::uint64_t crashed = 0;
    auto answersBefore = suspicion.answersBefore;
    for (const auto &evidence : m_evidence) {
        if (!evidence.isOwn || evidence.at < suspicion.first - comparisonTime)
            continue;
        answersBefore = std::min(answersBefore, evidence.answersBefore);
        const bool isOther = !suspicion.crashes.contains(evidence.crash)
                             && !explained.contains(evidence.crash);
        crashed += isOther ? 1 : 0;
    }
    const auto answered = m_answers - answersBefore;
    // Half a call more of each kind, since few calls say little about the share.
    const double crashShare = (static_cast<double>(crashed) + 0.5)
                              / (static_cast<double>(crashed) + static_cast<double>(answered) + 1);
    // The more parts are suspected, the likelier one of them meets many crashes by chance.
    return std::pow(crashShare, suspicion.crashes.size()) * static_cast<double>(suspects)
           <= maxFalseBlockProbability;
}

bool CrashingPartDetector::judge(TimePoint now)
{
    bool hasBlocked = false;
    while (m_evidence.size() >= minCrashes && m_blocks.size() < maxBlocks) {
        const auto explained = explainedCrashes();
        const auto cases = suspicions(explained);
        // The case with most crashes first: once its parts are blocked, they explain crashes that
        // would count against other parts. Of equal cases, the one with more companions blames each
        // of them less.
        const Suspicion *strongest = nullptr;
        PromptParts blamed;
        for (const auto &[part, suspicion] : cases) {
            const bool isWeaker
                    = strongest != nullptr && suspicion.crashes.size() < strongest->crashes.size();
            if (isWeaker || !isConvincing(suspicion, explained, cases.size()))
                continue;
            auto parts = companions(part, explained);
            const bool isStronger
                    = strongest == nullptr || suspicion.crashes.size() > strongest->crashes.size();
            if (!isStronger && parts.size() <= blamed.size())
                continue;
            strongest = &suspicion;
            blamed = std::move(parts);
        }
        if (strongest == nullptr)
            return hasBlocked;
        block(std::move(blamed), strongest->first, now);
        hasBlocked = true;
    }
    return hasBlocked;
}

void CrashingPartDetector::block(PromptParts parts, TimePoint firstCrash, TimePoint now)
{
    const auto isFromCaller = [&](const Evidence &evidence) {
        return evidence.source == CallSource::Caller && containsAll(evidence.parts, parts);
    };
    Block added;
    added.isForItemsOnly = std::none_of(m_evidence.begin(), m_evidence.end(), isFromCaller);
    added.parts = std::move(parts);
    added.firstCrash = firstCrash;
    added.until = now + m_blockTime;
    added.nextItemTrial = now + itemPause(0);
    addBlock(std::move(added), "own evidence", now);
}

void CrashingPartDetector::addBlock(Block added, std::string_view from, TimePoint now)
{
    logStateChange("prompt-part-blocked",
                   {{"parts", promptPartsText(added.parts)},
                    {"blockedMs", std::to_string(milliseconds(added.until - now).count())},
                    {"itemsOnly", added.isForItemsOnly ? "yes" : "no"},
                    {"from", std::string(from)}});
    std::sort(added.parts.begin(), added.parts.end());
    m_blocks.push_back(std::move(added));
}

void CrashingPartDetector::noteAnswering(std::span<const std::uint64_t> parts, TimePoint beganAt,
                                         TimePoint now)
{
    if (parts.empty())
        return;
    bool isUrgent = false;
    {
        const std::scoped_lock lock(m_mutex);
        m_answers += 1;
        const auto blocksBefore = m_blocks.size();
        for (const auto part : parts) {
            rememberAnswer(part, beganAt);
            if (clear(part, beganAt))
                reportCleared(part, beganAt, now);
        }
        isUrgent = m_blocks.size() != blocksBefore;
    }
    if (isUrgent && onUrgentReport)
        onUrgentReport();
}

bool CrashingPartDetector::clear(std::uint64_t part, TimePoint beganAt)
{
    bool wasSuspected = false;
    for (auto &evidence : m_evidence) {
        if (evidence.at <= beganAt && std::erase(evidence.parts, part) > 0)
            wasSuspected = true;
    }
    for (auto &block : m_blocks) {
        if (block.firstCrash <= beganAt && std::erase(block.parts, part) > 0) {
            wasSuspected = true;
            logStateChange("prompt-part-cleared", {{"parts", promptPartsText({&part, 1})},
                                                   {"stillBlocked", promptPartsText(block.parts)}});
        }
    }
    std::erase_if(m_blocks, [](const Block &block) { return block.parts.empty(); });
    return wasSuspected;
}

void CrashingPartDetector::reportCleared(std::uint64_t part, TimePoint beganAt, TimePoint now)
{
    if (m_cleared.size() < maxClearedParts || m_cleared.contains(part))
        m_cleared[part] = {beganAt, now + reportDuration};
}

void CrashingPartDetector::rememberAnswer(std::uint64_t part, TimePoint beganAt)
{
    if (m_recentAnswers.size() >= maxRememberedAnswers && !m_recentAnswers.contains(part)) {
        m_olderAnswers = std::move(m_recentAnswers);
        m_recentAnswers.clear();
    }
    auto &last = m_recentAnswers[part];
    last = std::max(last, beganAt);
}

std::optional<TimePoint> CrashingPartDetector::lastAnswer(std::uint64_t part) const
{
    for (const auto *answers : {&m_recentAnswers, &m_olderAnswers}) {
        if (const auto found = answers->find(part); found != answers->end())
            return found->second;
    }
    return {};
}

std::optional<Duration> CrashingPartDetector::refusal(std::span<const std::uint64_t> parts,
                                                      TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    std::optional<Duration> longest;
    std::vector<Block *> trials;
    for (auto &block : m_blocks) {
        if (block.isForItemsOnly || !containsAll(parts, block.parts))
            continue;
        const auto end = std::max(block.until + m_trialDelay, block.nextTrial);
        if (end > now)
            longest = std::max(longest.value_or(Duration(0)), end - now);
        else
            trials.push_back(&block);
    }
    if (longest)
        return longest;
    for (auto *block : trials)
        block->nextTrial = now + trialTime;
    return {};
}

std::optional<Duration> CrashingPartDetector::itemDelay(std::span<const std::uint64_t> parts,
                                                        TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    std::optional<Duration> longest;
    for (const auto &block : m_blocks) {
        const auto end = block.nextItemTrial + m_itemTrialDelay;
        if (end > now && containsAll(parts, block.parts))
            longest = std::max(longest.value_or(Duration(0)), end - now);
    }
    return longest;
}

void CrashingPartDetector::noteItemSent(std::span<const std::uint64_t> parts, TimePoint now)
{
    bool isTrial = false;
    {
        const std::scoped_lock lock(m_mutex);
        for (auto &block : m_blocks) {
            if (!containsAll(parts, block.parts))
                continue;
            isTrial = true;
            block.itemTrialBegan = now;
            block.nextItemTrial = now + trialTime;
            block.itemTrialReportedUntil = now + reportDuration;
            logStateChange("item-trial-sent", {{"parts", promptPartsText(block.parts)}});
        }
    }
    if (isTrial && onUrgentReport)
        onUrgentReport();
}

std::size_t CrashingPartDetector::blockCount(TimePoint now) const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_blocks.begin(), m_blocks.end(),
                          [&](const Block &block) { return block.until > now; }));
}

void CrashingPartDetector::removeExpired(TimePoint now)
{
    std::erase_if(m_evidence,
                  [&](const Evidence &evidence) { return evidence.at + m_blockTime <= now; });
    // A lapsed block is remembered, so that the first crash of a trial renews it.
    std::erase_if(m_blocks, [&](const Block &block) {
        return block.until + m_trialDelay + m_blockTime <= now;
    });
    std::erase_if(m_cleared, [&](const auto &entry) { return entry.second.second <= now; });
}

CrashingPartReport CrashingPartDetector::nextReport(TimePoint now)
{
    const std::scoped_lock lock(m_mutex);
    removeExpired(now);
    // Calls that were answered meanwhile may have made a case convincing.
    judge(now);
    CrashingPartReport report;
    std::size_t space = maxReportedParts;
    // All processes report all blocks, so that a process that starts learns of them from any peer.
    for (std::size_t i = 0; i < m_blocks.size(); ++i) {
        const auto &block = m_blocks[(m_nextReportedBlock + i) % m_blocks.size()];
        if (block.until <= now)
            continue;
        if (block.parts.size() > space / 2) {
            m_nextReportedBlock = (m_nextReportedBlock + i) % m_blocks.size();
            break;
        }
        space -= block.parts.size();
        // Only the process that tried an item tells when the next one may be tried: passed on from
        // peer to peer, the time would grow by the delay of each report.
        const auto trialRemaining = block.itemTrialReportedUntil > now && block.nextItemTrial > now
                                            ? milliseconds(block.nextItemTrial - now)
                                            : Milliseconds(0);
        report.blocked.push_back({block.parts, milliseconds(now - block.firstCrash),
                                  milliseconds(block.until - now), block.level,
                                  block.isForItemsOnly, block.failedItemTrials, trialRemaining});
    }
    for (const auto &[part, cleared] : m_cleared) {
        if (space == 0)
            break;
        space -= 1;
        report.cleared.push_back({part, milliseconds(now - cleared.first)});
    }
    for (auto it = m_evidence.rbegin(); it != m_evidence.rend(); ++it) {
        if (!it->isOwn || it->parts.empty() || now - it->at > reportDuration
            || it->parts.size() > space)
            continue;
        space -= it->parts.size();
        report.suspects.push_back({it->parts, it->upstreamStart, it->observation,
                                   milliseconds(now - it->at), it->source});
    }
    return report;
}

void CrashingPartDetector::applyReport(const CrashingPartReport &report, TimePoint now)
{
    if (report.suspects.empty() && report.cleared.empty() && report.blocked.empty())
        return;
    bool isUrgent = false;
    {
        const std::scoped_lock lock(m_mutex);
        const auto clearedHere = [&](std::uint64_t part, TimePoint suspectedSince) {
            const auto answered = lastAnswer(part);
            if (!answered || *answered < suspectedSince)
                return false;
            reportCleared(part, *answered, now);
            return true;
        };
        for (const auto &cleared : report.cleared)
            (void)clear(cleared.part, now - cleared.age);
        for (const auto &suspect : report.suspects) {
            const bool isKnown = std::any_of(m_evidence.begin(), m_evidence.end(),
                                             [&](const Evidence &evidence) {
                                                 return evidence.observation == suspect.observation;
                                             });
            if (isKnown || suspect.age < Milliseconds(0) || suspect.age >= m_blockTime)
                continue;
            Evidence evidence{
                    suspect.parts, suspect.upstreamStart, suspect.observation, now - suspect.age,
                    false,         suspect.source};
            std::erase_if(evidence.parts,
                          [&](auto part) { return clearedHere(part, evidence.at); });
            if (!evidence.parts.empty())
                isUrgent |= addEvidence(std::move(evidence), now);
        }
        for (const auto &blocked : report.blocked) {
            const auto firstCrash = now - blocked.age;
            auto parts = blocked.parts;
            std::erase_if(parts, [&](auto part) { return clearedHere(part, firstCrash); });
            if (parts.empty()) {
                isUrgent = true;
                continue;
            }
            applyBlock(blocked, std::move(parts), now);
        }
    }
    if (isUrgent && onUrgentReport)
        onUrgentReport();
}

void CrashingPartDetector::applyBlock(const BlockedParts &blocked, PromptParts parts, TimePoint now)
{
    std::sort(parts.begin(), parts.end());
    const auto until = now + blocked.remaining;
    const auto nextItemTrial
            = now
              + (blocked.itemTrialRemaining.count() > 0 ? blocked.itemTrialRemaining
                                                        : itemPause(blocked.failedItemTrials));
    const auto known = std::find_if(m_blocks.begin(), m_blocks.end(),
                                    [&](const Block &block) { return block.parts == parts; });
    if (known != m_blocks.end()) {
        known->until = std::max(known->until, until);
        known->level = std::max(known->level, blocked.level);
        known->isForItemsOnly = known->isForItemsOnly && blocked.isForItemsOnly;
        known->failedItemTrials = std::max(known->failedItemTrials, blocked.failedItemTrials);
        if (blocked.itemTrialRemaining.count() > 0)
            known->nextItemTrial = std::max(known->nextItemTrial, nextItemTrial);
        return;
    }
    if (m_blocks.size() >= maxBlocks)
        return;
    Block added;
    added.parts = std::move(parts);
    added.firstCrash = now - blocked.age;
    added.until = until;
    added.level = blocked.level;
    added.isForItemsOnly = blocked.isForItemsOnly;
    added.failedItemTrials = blocked.failedItemTrials;
    added.nextItemTrial = nextItemTrial;
    addBlock(std::move(added), "a peer", now);
}

} // namespace Radishplank

#pragma once

#include <Core/Core.h>
#include <Limits/RateLedger.h>

#include <map>
#include <optional>

namespace Radishplank {

/// What a process that lacks slots of a concurrency limit asks of another.
struct SlotAsk
{
    /// Rises with each ask of one borrower.
    std::uint64_t sequence = 0;
    /// Slots of the lender that calls run on now; the borrower starts no more of them until it is
    /// answered.
    std::int64_t held = 0;
    /// Slots that it could use beyond those.
    std::int64_t wanted = 0;
};

/// One process's part of one limit on calls that run at once: what it owns, has lent and borrowed.
///
/// A call may outlast the loan that it was started on. So a lender counts a slot as lent until the
/// borrower has told that no call runs on it any more, or until a call that was started on the
/// last moment of the loan must have ended. So the calls that run at once never pass the limit,
/// whatever is delayed, lost or paused. Pure.
class ConcurrencyLedger
{
public:
    /// Asks are numbered from there; a process that restarts has to begin above its earlier ones.
    explicit ConcurrencyLedger(std::uint64_t firstSequence = 0)
        : m_lastSequence(firstSequence)
    {
    }

    void setOwned(std::int64_t slots) { m_owned = slots; }
    /// Sets the longest time that a call may take.
    void setCallTime(Milliseconds time) { m_callTime = time; }

    /// Starts a call if there is a slot for it.
    [[nodiscard]] bool start(TimePoint now);
    void end(TimePoint now);

    /// Ends a period of demand.
    void endPeriod();
    /// Returns how many slots should be borrowed beyond those in use; 0 if the own ones suffice.
    [[nodiscard]] std::int64_t wanted(TimePoint now);
    /// Tells whether slots are borrowed, or are to be given back.
    [[nodiscard]] bool isBorrowing() const;
    /// Begins an ask; until its answer, no more calls start on slots of that lender. Nothing, if
    /// there is nothing to ask for or to give back.
    std::optional<SlotAsk> ask(const NodeId &lender, std::int64_t wanted);
    /// Takes the answer to an ask: how many slots of the lender may be in use.
    void borrow(const NodeId &lender, std::uint64_t sequence, std::int64_t granted,
                TimePoint askedAt);
    /// Answers an ask: returns how many slots the borrower may have in use, those held included.
    std::int64_t lend(const NodeId &borrower, const SlotAsk &ask, TimePoint now);

    [[nodiscard]] std::int64_t running() const;
    [[nodiscard]] std::int64_t usable(TimePoint now);

private:
    struct Borrowed
    {
        std::uint64_t sequence = 0;
        std::int64_t granted = 0;
        std::int64_t used = 0;
        TimePoint until{};
        /// The lender may count slots as lent.
        bool isOpen = false;
    };
    struct Lent
    {
        std::uint64_t sequence = 0;
        std::int64_t slots = 0;
        TimePoint until{};
    };

    [[nodiscard]] std::int64_t ownAvailable(TimePoint now);
    [[nodiscard]] std::int64_t demand() const;

    std::uint64_t m_lastSequence;
    std::int64_t m_owned = 0;
    Milliseconds m_callTime{60'000};
    std::int64_t m_ownUsed = 0;
    std::int64_t m_peak = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_demand = 0;
    std::map<NodeId, Borrowed> m_borrowed;
    std::map<NodeId, Lent> m_lent;
};

} // namespace Radishplank

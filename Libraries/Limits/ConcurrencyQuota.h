#pragma once

#include <Core/Core.h>
#include <Limits/RateQuota.h>

#include <map>
#include <optional>

namespace Radishplank {

/// A request of a process that lacks slots of a concurrency limit to another process.
struct SlotRequest
{
    /// Increases with each request of one borrower.
    std::uint64_t sequence = 0;
    /// Slots of the lender that have running calls; the borrower starts no more calls on the
    /// lender's slots until it gets the response.
    std::int64_t held = 0;
    /// Slots that the borrower could use in addition.
    std::int64_t wanted = 0;
};

/// One process's quota of a limit on concurrent calls: the slots that it owns, lends and borrows.
///
/// A call may run longer than the loan whose slot it uses. The lender therefore counts a slot as
/// lent until the borrower reports that no call runs on it, or until a call started at the last
/// moment of the loan must have ended. So the number of concurrent calls never exceeds the limit,
/// even if messages are delayed or lost or a process is paused. Pure.
class ConcurrencyQuota
{
public:
    /// Requests are numbered from `firstSequence`; after a restart it must exceed all earlier ones.
    explicit ConcurrencyQuota(std::uint64_t firstSequence = 0)
        : m_lastSequence(firstSequence)
    {
    }

    void setOwned(std::int64_t slots) { m_owned = slots; }
    /// Sets the maximum duration of a call.
    void setCallTime(Milliseconds time) { m_callTime = time; }

    /// Starts a call if a slot is free.
    [[nodiscard]] bool start(TimePoint now);
    void end(TimePoint now);

    /// Ends a demand measurement period.
    void endPeriod();
    /// Returns how many slots to borrow beyond those in use; 0 if the owned ones suffice.
    [[nodiscard]] std::int64_t wanted(TimePoint now);
    /// Returns whether slots are borrowed or still have to be returned.
    [[nodiscard]] bool isBorrowing() const;
    /// Creates a loan request; no more calls start on slots of that lender until its response.
    /// Returns nothing if there are no slots to request or to return.
    std::optional<SlotRequest> requestLoan(const NodeId &lender, std::int64_t wanted);
    /// Handles the response to a request: how many slots of the lender may be in use.
    void borrow(const NodeId &lender, std::uint64_t sequence, std::int64_t granted,
                TimePoint requestedAt);
    /// Handles a request: returns how many slots the borrower may use, including those it holds.
    std::int64_t lend(const NodeId &borrower, const SlotRequest &request, TimePoint now);

    [[nodiscard]] std::int64_t running() const;
    [[nodiscard]] std::int64_t usable(TimePoint now);

private:
    struct BorrowedSlots
    {
        std::uint64_t sequence = 0;
        std::int64_t granted = 0;
        std::int64_t used = 0;
        TimePoint expiresAt{};
        /// Whether the lender may still count slots as lent.
        bool mayBeLent = false;
    };
    struct LentSlots
    {
        std::uint64_t sequence = 0;
        std::int64_t slots = 0;
        TimePoint expiresAt{};
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
    std::map<NodeId, BorrowedSlots> m_borrowed;
    std::map<NodeId, LentSlots> m_lent;
};

} // namespace Radishplank

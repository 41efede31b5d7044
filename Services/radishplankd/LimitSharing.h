#pragma once

#include "EntryContext.h"

namespace Radishplank {

/// Borrows rates that this process lacks from other entry processes, a few of them at a time.
class LimitSharing
{
public:
    explicit LimitSharing(EntryContext &context)
        : m_context(context)
    {
    }

    void start();
    /// Answers a process that wants to borrow.
    std::vector<RateShare> answer(const LendRequest &request);

private:
    void run();
    void askPeer(const EntryMember &peer, const std::vector<RateShare> &wanted);
    [[nodiscard]] std::vector<EntryMember> nextPeers();

    EntryContext &m_context;
    std::size_t m_turn = 0;
};

} // namespace Radishplank

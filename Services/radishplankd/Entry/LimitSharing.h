#pragma once

#include "Entry/EntryContext.h"

#include <mutex>
#include <set>

namespace Radishplank {

/// Borrows rates and slots that this process lacks from other entry processes, a few of them at a
/// time.
class LimitSharing
{
public:
    explicit LimitSharing(EntryContext &context)
        : m_context(context)
    {
    }

    void start();
    /// Answers a process that wants to borrow.
    std::vector<LimitShare> answer(const LendRequest &request);

private:
    void learn(const std::string &key);
    void run();
    void askPeer(const NodeMember &peer, const std::vector<LimitShare> &wanted);
    [[nodiscard]] std::vector<NodeMember> nextPeers();
    [[nodiscard]] std::set<NodeId> currentLenders();
    void noteLender(const NodeId &node, bool hasLent);

    EntryContext &m_context;
    std::size_t m_turn = 0;
    std::mutex m_mutex;
    std::set<NodeId> m_lenders;
};

} // namespace Radishplank

#pragma once

#include "Entry/EntryContext.h"

#include <mutex>
#include <set>

namespace Radishplank {

/// Borrows request rates and slots from other entry processes when this process's shares run short.
/// Asks a few of them in each period.
class LimitSharing
{
public:
    explicit LimitSharing(EntryContext &context)
        : m_context(context)
    {
    }

    void start();
    /// Handles a borrow request from another process.
    std::vector<LimitShare> answer(const LendRequest &request);

private:
    void registerLimit(const std::string &key);
    void run();
    void borrowFromPeer(const NodeMember &peer, const std::vector<LimitShare> &wanted);
    [[nodiscard]] std::vector<NodeMember> nextPeers();
    [[nodiscard]] std::set<NodeId> currentLenders();
    void noteLender(const NodeId &node, bool hasLent);

    EntryContext &m_context;
    std::size_t m_nextPeerIndex = 0;
    std::mutex m_mutex;
    std::set<NodeId> m_lenders;
};

} // namespace Radishplank

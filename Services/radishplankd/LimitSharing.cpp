#include "LimitSharing.h"

#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds period{500};
constexpr Milliseconds askTimeout{400};
/// Bounds the calls of one period. A loan outlasts four periods, so a process can hold loans of
/// four times as many.
constexpr std::size_t peersPerPeriod = 8;

} // namespace

void LimitSharing::start()
{
    m_context.threads.spawn([this] { run(); });
}

std::vector<RateShare> LimitSharing::answer(const LendRequest &request)
{
    return m_context.limits.lend(request.node, request.wanted, SteadyClock().now());
}

void LimitSharing::run()
{
    auto periodBegan = SteadyClock().now();
    while (true) {
        boost::this_fiber::sleep_for(period);
        const auto now = SteadyClock().now();
        const auto wanted = m_context.limits.wantedAfterPeriod(now - periodBegan, now);
        periodBegan = now;
        if (wanted.empty())
            continue;
        for (const auto &peer : nextPeers())
            m_context.threads.spawn([this, peer, wanted] { askPeer(peer, wanted); });
    }
}

void LimitSharing::askPeer(const EntryMember &peer, const std::vector<RateShare> &wanted)
{
    const auto askedAt = SteadyClock().now();
    const auto lent = m_context.control.lend(peer.control, {m_context.node, wanted}, askTimeout);
    if (!lent.isError())
        m_context.limits.borrow(peer.id, lent.value(), askedAt);
}

std::vector<EntryMember> LimitSharing::nextPeers()
{
    const auto others = m_context.configuration.read([this](const CatalogueSnapshot &catalogue) {
        std::vector<EntryMember> members;
        for (const auto &node : catalogue.nodes()) {
            if (node.id != m_context.node)
                members.push_back(node);
        }
        return members;
    });
    std::vector<EntryMember> chosen;
    for (std::size_t i = 0; i < others.size() && i < peersPerPeriod; ++i)
        chosen.push_back(others[m_turn++ % others.size()]);
    return chosen;
}

} // namespace Radishplank

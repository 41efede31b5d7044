#include "Entry/LimitSharing.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace Radishplank {

namespace {

constexpr Milliseconds borrowPeriod{500};
constexpr Milliseconds lendTimeout{400};
/// Bounds the calls of one period. A loan lasts for four periods, so a process can hold loans from
/// four times as many peers.
constexpr std::size_t peersPerPeriod = 8;

} // namespace

void LimitSharing::start()
{
    m_context.threads.spawn([this] { run(); });
}

std::vector<LimitShare> LimitSharing::answer(const LendRequest &request)
{
    // An owner that has never called this process has no limit registered here yet.
    for (const auto &share : request.wanted)
        registerLimit(share.key);
    return m_context.limits.lend(request.node, request.wanted, SteadyClock().now());
}

void LimitSharing::registerLimit(const std::string &key)
{
    const auto slash = key.find('/');
    const OwnerId owner(key.substr(0, slash));
    std::optional<Limits> limits;
    Milliseconds longestCall{0};
    m_context.configuration.read([&](const CatalogueSnapshot &catalogue) {
        for (const auto &entry : catalogue.entriesOf(owner)) {
            const bool isEntry = slash != std::string::npos;
            if (isEntry && entry->name.text() != key.substr(slash + 1))
                continue;
            longestCall = std::max(longestCall, entry->deadline);
            if (isEntry)
                limits = entry->limits;
        }
        const auto known = catalogue.owner(owner);
        if (slash == std::string::npos && known != nullptr)
            limits = known->limits;
    });
    if (limits)
        m_context.limits.registerLimit(key, *limits, longestCall);
}

void LimitSharing::run()
{
    auto periodStart = SteadyClock().now();
    while (true) {
        boost::this_fiber::sleep_for(borrowPeriod);
        const auto now = SteadyClock().now();
        const auto wanted = m_context.limits.endDemandPeriod(now - periodStart, now);
        periodStart = now;
        if (wanted.empty())
            continue;
        for (const auto &peer : nextPeers())
            m_context.threads.spawn([this, peer, wanted] { borrowFromPeer(peer, wanted); });
    }
}

void LimitSharing::borrowFromPeer(const NodeMember &peer, const std::vector<LimitShare> &wanted)
{
    const auto askedAt = SteadyClock().now();
    const auto requested = m_context.limits.requestLoan(peer.id, wanted);
    const auto lent
            = m_context.control.lend(peer.control, {m_context.node, requested}, lendTimeout);
    if (lent.isError())
        return;
    m_context.limits.borrow(peer.id, lent.value(), askedAt);
    const bool hasLent
            = std::any_of(lent.value().begin(), lent.value().end(), [](const LimitShare &share) {
                  return share.requestsPerSecond > 0 || share.slots > 0;
              });
    noteLender(peer.id, hasLent);
}

std::vector<NodeMember> LimitSharing::nextPeers()
{
    const auto others = m_context.configuration.read([this](const CatalogueSnapshot &catalogue) {
        std::vector<NodeMember> members;
        for (const auto &node : catalogue.nodes()) {
            if (node.id != m_context.node)
                members.push_back(node);
        }
        return members;
    });
    // Current lenders come first, because their loans need renewal. Half of the calls are reserved
    // for other peers, which may have more to lend.
    std::vector<NodeMember> chosen;
    const auto isChosen = [&](const NodeMember &member) {
        return std::any_of(chosen.begin(), chosen.end(),
                           [&](const NodeMember &each) { return each.id == member.id; });
    };
    const auto lenders = currentLenders();
    for (const auto &member : others) {
        if (lenders.contains(member.id) && chosen.size() < peersPerPeriod / 2)
            chosen.push_back(member);
    }
    for (std::size_t i = 0; i < others.size() && chosen.size() < peersPerPeriod; ++i) {
        const auto &member = others[m_nextPeerIndex++ % others.size()];
        if (!isChosen(member))
            chosen.push_back(member);
    }
    return chosen;
}

std::set<NodeId> LimitSharing::currentLenders()
{
    const std::scoped_lock lock(m_mutex);
    return m_lenders;
}

void LimitSharing::noteLender(const NodeId &node, bool hasLent)
{
    const std::scoped_lock lock(m_mutex);
    if (hasLent)
        m_lenders.insert(node);
    else
        m_lenders.erase(node);
}

} // namespace Radishplank

#pragma once

#include <Control/Control.capnp.h>
#include <Control/ControlMessages.h>

namespace Radishplank {

inline std::vector<CrashNotice> readCrashes(capnp::List<Rpc::CrashNotice>::Reader list)
{
    std::vector<CrashNotice> crashes;
    for (const auto notice : list) {
        crashes.push_back({notice.getFingerprint().cStr(), AttemptId(notice.getAttempt().cStr()),
                           Milliseconds(notice.getAgeMilliseconds())});
    }
    return crashes;
}

template<typename Builder>
void writeCrashes(Builder list, const std::vector<CrashNotice> &crashes)
{
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        auto notice = list[static_cast<unsigned>(i)];
        notice.setFingerprint(crashes[i].fingerprint);
        notice.setAttempt(crashes[i].attempt.text());
        notice.setAgeMilliseconds(static_cast<std::uint64_t>(crashes[i].age.count()));
    }
}

inline std::vector<LimitShare> readShares(capnp::List<Rpc::LimitShare>::Reader list)
{
    std::vector<LimitShare> shares;
    for (const auto share : list)
        shares.push_back({share.getKey().cStr(), share.getRequestsPerSecond(), share.getSlots(),
                          share.getSlotsHeld(), share.getSequence()});
    return shares;
}

template<typename Builder>
void writeShares(Builder list, const std::vector<LimitShare> &shares)
{
    for (std::size_t i = 0; i < shares.size(); ++i) {
        auto share = list[static_cast<unsigned>(i)];
        share.setKey(shares[i].key);
        share.setRequestsPerSecond(shares[i].requestsPerSecond);
        share.setSlots(shares[i].slots);
        share.setSlotsHeld(shares[i].slotsHeld);
        share.setSequence(shares[i].sequence);
    }
}

} // namespace Radishplank

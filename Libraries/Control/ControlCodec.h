#pragma once

#include <Control/Control.capnp.h>
#include <Control/ControlMessages.h>

#include <capnp/message.h>

namespace Radishplank {

/// Returns the size and nesting limits for a message received from a peer.
[[nodiscard]] capnp::ReaderOptions readerOptions(std::size_t maxBytes);

[[nodiscard]] std::vector<CrashNotice> readCrashes(capnp::List<Rpc::CrashNotice>::Reader list);
[[nodiscard]] std::vector<LimitShare> readShares(capnp::List<Rpc::LimitShare>::Reader list);

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

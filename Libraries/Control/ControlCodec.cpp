#include <Control/ControlCodec.h>

namespace Radishplank {

capnp::ReaderOptions readerOptions(std::size_t maxBytes)
{
    constexpr int maxNesting = 16;
    constexpr std::size_t bytesPerWord = 8;
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxBytes / bytesPerWord;
    options.nestingLimit = maxNesting;
    return options;
}

std::vector<CrashNotice> readCrashes(capnp::List<Rpc::CrashNotice>::Reader list)
{
    std::vector<CrashNotice> crashes;
    for (const auto notice : list) {
        crashes.push_back({notice.getFingerprint().cStr(), AttemptId(notice.getAttempt().cStr()),
                           Milliseconds(notice.getAgeMilliseconds())});
    }
    return crashes;
}

std::vector<LimitShare> readShares(capnp::List<Rpc::LimitShare>::Reader list)
{
    std::vector<LimitShare> shares;
    for (const auto share : list)
        shares.push_back({share.getKey().cStr(), share.getRequestsPerSecond(), share.getSlots(),
                          share.getSlotsHeld(), share.getSequence()});
    return shares;
}

} // namespace Radishplank

#pragma once

#include <Core/Core.h>
#include <Limits/Limits.h>
#include <Store/Store.h>

#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <variant>

namespace Radishplank {

/// The state of one limit at this process.
struct LimitUse
{
    std::int64_t limit = 0;
    /// How many processes share it; 0 if that is not known.
    std::size_t processes = 0;
    std::set<NodeId> heard;
    /// What this process's work takes up of it.
    std::int64_t used = 0;
};

/// Keeps this process's claims on limits in the store, one object a limit. Its methods suspend the
/// calling fiber; all of them on one thread.
template<ObjectStore Store, typename Pause>
class ClaimKeeper
{
public:
    using DescribeUse = std::function<LimitUse(const std::string &limit)>;

    ClaimKeeper(Store &store, Pause pause, NodeId self, DescribeUse describeUse)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_self(std::move(self))
        , m_describeUse(std::move(describeUse))
    {
    }

    /// There is room for so much more, until the calling fiber is suspended.
    struct HasRoom
    {
    };
    /// The error is Refused: the store could not be asked.
    using Outcome = std::variant<HasRoom, ClaimedQuota::Shortage, Error>;

    /// Makes sure that so much more may be accepted under the limit.
    Outcome claim(const std::string &limit, std::int64_t amount)
    {
        auto &entry = m_entries.try_emplace(limit, m_self).first->second;
        const std::scoped_lock lock(entry.mutex);
        const auto patience = SteadyClock().now() + claimPatience;
        while (true) {
            refresh(limit, entry.ledger);
            if (entry.ledger.room(BootClock::now()) >= amount)
                return HasRoom();
            const auto written = write(limit, entry.ledger, amount);
            if (written.isError() && written.error().kind != ErrorKind::Conflict)
                return written.error();
            if (!written.isError() && written.value().amount > 0)
                return written.value();
            if (SteadyClock().now() >= patience)
                return Error{ErrorKind::Refused, "the claims on " + limit + " keep changing"};
        }
    }

    /// Writes claims again that are about to lapse, that are too large, or that work which was
    /// taken over has outgrown.
    void renew()
    {
        for (auto &[limit, entry] : m_entries) {
            const std::scoped_lock lock(entry.mutex);
            refresh(limit, entry.ledger);
            if (!entry.ledger.mustRenew(BootClock::now()))
                continue;
            const auto written = write(limit, entry.ledger, 0);
            if (written.isError() && written.error().kind != ErrorKind::Conflict) {
                logStateChange("claim-not-renewed",
                               {{"limit", limit}, {"reason", written.error().message}});
            }
        }
    }

    /// Makes a limit known, so that what is taken up of it is claimed.
    void watch(const std::string &limit) { m_entries.try_emplace(limit, m_self); }

private:
    /// Other processes may claim at the same moment; each try takes two calls.
    static constexpr Milliseconds claimPatience{250};

    struct Entry
    {
        explicit Entry(const NodeId &self)
            : ledger(self)
        {
        }

        ClaimedQuota ledger;
        boost::fibers::mutex mutex;
    };

    void refresh(const std::string &limit, ClaimedQuota &ledger) const
    {
        const auto use = m_describeUse(limit);
        ledger.configure(use.limit, use.processes);
        ledger.setUsed(use.used);
        ledger.setHeard(use.heard);
    }

    /// Claims so much more; returns what is missing, 0 if it is claimed. Conflict: another process
    /// has written at the same time.
    Result<ClaimedQuota::Shortage> write(const std::string &limit, ClaimedQuota &ledger,
                                         std::int64_t amount)
    {
        const auto begunAt = BootClock::now();
        const auto key = std::string(keyPrefix) + limit;
        ClaimSet current;
        Version version = noVersion;
        const auto stored = m_store.get(key);
        if (!stored.isError()) {
            current = TRY(parseClaimSet(stored.value().value));
            version = stored.value().version;
        } else if (stored.error().kind != ErrorKind::NotFound) {
            return Error{ErrorKind::Refused, stored.error().message};
        }
        // What has been accepted or done during the call counts.
        refresh(limit, ledger);
        const auto plan = ledger.plan(current, amount, makeUniqueId(m_self.text()), begunAt);
        if (const auto *shortage = std::get_if<ClaimedQuota::Shortage>(&plan))
            return *shortage;
        const auto &sheet = std::get<ClaimSet>(plan);
        const auto patience = SteadyClock().now() + claimPatience;
        const auto written = putConfirmed(m_store, key, serialize(sheet), version, m_pause,
                                          [patience] { return SteadyClock().now() < patience; });
        if (written.isError() && written.error().kind == ErrorKind::Conflict)
            return written.error();
        // A claim in doubt is not used; nothing has been accepted on it.
        if (written.isError())
            return Error{ErrorKind::Refused, written.error().message};
        ledger.confirm(sheet, begunAt);
        logDecision("claim-written", {{"limit", limit}, {"asked", std::to_string(amount)}});
        return ClaimedQuota::Shortage{};
    }

    static constexpr std::string_view keyPrefix = "radishplank-claims/";

    Store &m_store;
    Pause m_pause;
    const NodeId m_self;
    const DescribeUse m_describeUse;
    std::map<std::string, Entry> m_entries;
};

} // namespace Radishplank

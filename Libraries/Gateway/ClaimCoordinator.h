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

/// How this process uses one limit.
struct LimitUse
{
    std::int64_t limit = 0;
    /// Number of processes that share the limit; 0 if unknown.
    std::size_t processes = 0;
    std::set<NodeId> reachablePeers;
    /// Amount that the work of this process uses.
    std::int64_t used = 0;
};

/// Maintains this process's claims on shared limits in the store, in one object per limit. All
/// methods run on one thread and suspend the calling fiber.
template<ObjectStore Store, typename Pause>
class ClaimCoordinator
{
public:
    using DescribeUse = std::function<LimitUse(const std::string &limit)>;

    ClaimCoordinator(Store &store, Pause pause, NodeId self, DescribeUse describeUse)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_self(std::move(self))
        , m_describeUse(std::move(describeUse))
    {
    }

    /// The requested amount is available until the calling fiber is suspended.
    struct HasCapacity
    {
    };
    /// The error is Refused if the store could not be read or written, or if other processes kept
    /// changing the claims.
    using Outcome = std::variant<HasCapacity, ClaimedQuota::Shortfall, Error>;

    /// Ensures that this process may accept the given additional amount under the limit.
    Outcome claim(const std::string &limit, std::int64_t amount)
    {
        auto &entry = m_entries.try_emplace(limit, m_self).first->second;
        const std::scoped_lock lock(entry.mutex);
        const auto deadline = SteadyClock().now() + claimTimeout;
        while (true) {
            refresh(limit, entry.share);
            if (entry.share.headroom(BootClock::now()) >= amount)
                return HasCapacity();
            const auto written = write(limit, entry.share, amount);
            if (written.isError() && written.error().kind != ErrorKind::Conflict)
                return written.error();
            if (!written.isError() && written.value().amount > 0)
                return written.value();
            if (SteadyClock().now() >= deadline)
                return Error{ErrorKind::Refused, "the claims on " + limit + " keep changing"};
        }
    }

    /// Rewrites claims that are about to expire, that are too large, or that are too small for the
    /// work that this process has taken over.
    void renew()
    {
        for (auto &[limit, entry] : m_entries) {
            const std::scoped_lock lock(entry.mutex);
            refresh(limit, entry.share);
            if (!entry.share.mustRenew(BootClock::now()))
                continue;
            const auto written = write(limit, entry.share, 0);
            if (written.isError() && written.error().kind != ErrorKind::Conflict) {
                logStateChange("claim-not-renewed",
                               {{"limit", limit}, {"reason", written.error().message}});
            }
        }
    }

    /// Registers a limit, so that renew() claims the amount that this process uses.
    void track(const std::string &limit) { m_entries.try_emplace(limit, m_self); }

private:
    /// Time for retries after conflicts with other processes; each attempt takes two calls.
    static constexpr Milliseconds claimTimeout{250};

    struct Entry
    {
        explicit Entry(const NodeId &self)
            : share(self)
        {
        }

        ClaimedQuota share;
        boost::fibers::mutex mutex;
    };

    void refresh(const std::string &limit, ClaimedQuota &share) const
    {
        const auto use = m_describeUse(limit);
        share.configure(use.limit, use.processes);
        share.setUsed(use.used);
        share.setReachablePeers(use.reachablePeers);
    }

    /// Claims an additional amount; returns how much is missing, 0 if the claim succeeded.
    /// Conflict: another process wrote the claims at the same time.
    Result<ClaimedQuota::Shortfall> write(const std::string &limit, ClaimedQuota &share,
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
        // Includes work that was accepted or completed during the call.
        refresh(limit, share);
        const auto plan = share.plan(current, amount, makeUniqueId(m_self.text()), begunAt);
        if (const auto *shortage = std::get_if<ClaimedQuota::Shortfall>(&plan))
            return *shortage;
        const auto &planned = std::get<ClaimSet>(plan);
        const auto deadline = SteadyClock().now() + claimTimeout;
        const auto written = putConfirmed(m_store, key, serialize(planned), version, m_pause,
                                          [deadline] { return SteadyClock().now() < deadline; });
        if (written.isError() && written.error().kind == ErrorKind::Conflict)
            return written.error();
        // A claim whose write has an unknown outcome is not used; no work was accepted under it.
        if (written.isError())
            return Error{ErrorKind::Refused, written.error().message};
        share.confirm(planned, begunAt);
        logDecision("claim-written", {{"limit", limit}, {"asked", std::to_string(amount)}});
        return ClaimedQuota::Shortfall{};
    }

    static constexpr std::string_view keyPrefix = "radishplank-claims/";

    Store &m_store;
    Pause m_pause;
    const NodeId m_self;
    const DescribeUse m_describeUse;
    std::map<std::string, Entry> m_entries;
};

} // namespace Radishplank

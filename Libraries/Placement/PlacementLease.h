#pragma once

#include <Core/Core.h>
#include <Store/Store.h>

#include <string>

namespace Radishplank {

/// Key of the lease on the placement of models in the store.
inline constexpr std::string_view placementLeaseKey = "placement/lease";

/// The lease as it is stored.
struct PlacementLeaseState
{
    /// Empty if no process holds the lease.
    std::string holder;
    /// Increases with each claim of the lease; sent with each order to an engine.
    std::int64_t fencing = 0;
};

inline std::string serialize(const PlacementLeaseState &state)
{
    return boost::json::serialize(boost::json::object{{"holder", state.holder},
                                                      {"fencing", state.fencing},
                                                      {"writer", makeUniqueId("writer")}});
}

inline Result<PlacementLeaseState> parsePlacementLease(std::string_view text)
{
    const auto fields = TRY(parseJsonObject(text));
    return PlacementLeaseState{textField(fields, "holder").value_or(""),
                               integerField(fields, "fencing", 0)};
}

/// One process's view of the lease on the placement of models.
///
/// The holder counts the lease from before it sent the latest renewal, by its own monotonic clock;
/// other processes count it from the last change of the object that they observed. So a holder that
/// resumes after a pause finds its lease expired before another process can claim it, and any order
/// that it still sends carries an outdated fencing number.
template<ObjectStore Store>
class PlacementLease
{
public:
    PlacementLease(Store &store, std::string holder, Duration duration)
        : m_store(store)
        , m_holder(std::move(holder))
        , m_duration(duration)
    {
    }

    [[nodiscard]] bool isHeld(TimePoint now) const
    {
        return m_version != noVersion && now < m_renewedAt + m_duration;
    }
    [[nodiscard]] std::int64_t fencing() const { return m_state.fencing; }

    /// Claims the lease if no process holds it. Fails with Conflict if another process holds it, or
    /// claimed it first.
    template<typename IsExpired>
    Result<void> claim(TimePoint now, IsExpired &&isExpired)
    {
        m_version = noVersion;
        PlacementLeaseState state;
        Version version = noVersion;
        auto current = m_store.get(placementLeaseKey);
        if (current.isError()) {
            if (current.error().kind != ErrorKind::NotFound)
                return current.takeError();
        } else {
            state = TRY(parsePlacementLease(current.value().value));
            version = current.value().version;
            // Called even if there is no holder, because it records changes of the object.
            const bool hasExpired = isExpired(version);
            if (!state.holder.empty() && !hasExpired)
                return Error{ErrorKind::Conflict, "another process holds the placement"};
        }
        state.holder = m_holder;
        state.fencing += 1;
        return write(std::move(state), version, now);
    }

    /// Renews the lease. After any error, the lease is lost or its state is unknown.
    Result<void> renew(TimePoint now) { return write(m_state, m_version, now); }

    /// Releases the lease, so that another process can claim it at once.
    void release()
    {
        if (m_version == noVersion)
            return;
        auto state = m_state;
        state.holder.clear();
        (void)m_store.put(placementLeaseKey, serialize(state), m_version);
        m_version = noVersion;
    }

    void drop() { m_version = noVersion; }

private:
    Result<void> write(PlacementLeaseState state, Version expected, TimePoint now)
    {
        // A write with unknown outcome is not retried: the lease expires and is claimed again.
        const auto written = m_store.put(placementLeaseKey, serialize(state), expected);
        if (written.isError()) {
            if (written.error().kind == ErrorKind::Conflict)
                m_version = noVersion;
            return written.error();
        }
        m_state = std::move(state);
        m_version = written.value();
        m_renewedAt = now;
        return {};
    }

    Store &m_store;
    std::string m_holder;
    Duration m_duration;
    PlacementLeaseState m_state;
    Version m_version = noVersion;
    TimePoint m_renewedAt{};
};

} // namespace Radishplank

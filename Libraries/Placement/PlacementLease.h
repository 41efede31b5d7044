#pragma once

#include <Core/Core.h>
#include <Store/Store.h>

#include <string>

namespace Radishplank {

/// Where the lease on the placement of models lies.
inline constexpr std::string_view placementLeaseKey = "placement/lease";

/// What the store holds of the lease.
struct PlacementLeaseState
{
    /// Empty if nobody holds it.
    std::string holder;
    /// Rises with each claim; orders to engines carry it.
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

/// The lease on the placement of models, as one process sees it.
///
/// Its holder counts the lease from before each renewal was sent, by its own monotonic clock, and
/// others from when they last saw the object change. So a holder that wakes from a pause finds its
/// lease lapsed before anybody else takes it, and what it sends all the same carries an old
/// fencing number.
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

    /// Takes the lease if nobody holds it. Conflict: another process does, or was faster.
    template<typename IsLapsed>
    Result<void> claim(TimePoint now, IsLapsed &&isLapsed)
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
            // Asked in any case: that the object has changed has to be noted.
            const bool hasLapsed = isLapsed(version);
            if (!state.holder.empty() && !hasLapsed)
                return Error{ErrorKind::Conflict, "another process holds the placement"};
        }
        state.holder = m_holder;
        state.fencing += 1;
        return write(std::move(state), version, now);
    }

    /// Keeps the lease; any error: what has become of it is not known, or it is lost.
    Result<void> renew(TimePoint now) { return write(m_state, m_version, now); }

    /// Hands the lease back, so that another process can take it at once.
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
        // Not tried again in doubt: the lease then runs out, and is claimed anew.
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

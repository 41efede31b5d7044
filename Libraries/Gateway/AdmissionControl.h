#pragma once

#include <Core/Core.h>
#include <Gateway/OwnerLoads.h>
#include <Gateway/RouteTable.h>
#include <Limits/Limits.h>
#include <Serving/Serving.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Radishplank {

/// What is known of a call when it is decided whether it waits for a slot.
struct AdmissionRequest
{
    std::string service;
    /// Time since the call arrived.
    Milliseconds age{0};
    /// Time from the arrival of the call to its first event that its caller expects.
    Milliseconds target{0};
    /// Hash of the name of the call's owner, as ownerHash() gives it.
    std::uint64_t owner = 0;
    /// 0 is the most urgent.
    unsigned priority = 0;
};

/// How long a call may wait for a slot, and why.
struct AdmissionLimit
{
    Milliseconds longestWait{0};
    ShareStanding standing = ShareStanding::Within;
};

/// Decides for one entry process which calls wait for a slot when none is free, and when refused
/// callers come back. Owners share the slots of all processes fairly, as far as their reports tell.
/// Thread-safe; no operation waits.
class AdmissionControl
{
public:
    /// Counts a stream of an owner until it is destroyed.
    class OwnerStream
    {
    public:
        OwnerStream(AdmissionControl &control, std::uint64_t owner);
        ~OwnerStream();
        OwnerStream(const OwnerStream &) = delete;
        OwnerStream &operator=(const OwnerStream &) = delete;

    private:
        AdmissionControl &m_control;
        const std::uint64_t m_owner;
    };

    /// The names and priorities of owners are those of the configuration in force.
    explicit AdmissionControl(const RouteDirectory &routes);

    /// `slots` is the number of slots of all upstreams.
    [[nodiscard]] AdmissionLimit limitFor(const AdmissionRequest &request, unsigned slots,
                                          TimePoint now);
    /// Returns the retry delay of a call that is refused for lack of a slot; `timeLeft` is the time
    /// until its caller gives up.
    [[nodiscard]] Milliseconds retryAfter(Milliseconds timeLeft, TimePoint now);
    /// Records the time from the sending of a call to its first event, see CallAdmission.
    void noteFirstEvent(const std::string &service, Milliseconds expectedWait,
                        Milliseconds observed, TimePoint now);
    /// Records that a call has been answered and its slot is free again.
    void noteAnswered(TimePoint now);
    /// Records that a call was refused for lack of a slot.
    void noteRefused(std::uint64_t owner);

    /// Records the streams by owner that a peer reports.
    void notePeerStreams(const NodeId &peer, std::span<const OwnerStreams> streams, TimePoint now);
    /// Returns the streams of this process by owner for a report; none without owners.
    [[nodiscard]] std::vector<OwnerStreams> ownStreams() const;
    /// Appends the metrics by owner in the Prometheus text format: the largest owners and the sum
    /// of the rest.
    void renderPrometheus(std::string &text);

private:
    /// What the configuration says about an owner.
    struct ConfiguredOwner
    {
        std::string name;
        std::optional<unsigned> priority;
    };

    void followConfiguration();
    void renderByOwner(std::string &text, std::string_view name,
                       std::vector<OwnerStreams> values) const;

    const RouteDirectory &m_routes;
    mutable std::mutex m_mutex;
    std::uint64_t m_configuration = 0;
    std::unordered_map<std::uint64_t, ConfiguredOwner> m_owners;
    OwnerLoads m_loads;
    /// Refused calls by owner since the start of the process.
    std::unordered_map<std::uint64_t, unsigned> m_refused;
    CallAdmission m_admission;
    RetryAfterSchedule m_returns;
};

} // namespace Radishplank

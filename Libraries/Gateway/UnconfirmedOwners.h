#pragma once

#include <Gateway/PeerTable.h>

#include <concepts>
#include <map>
#include <string>

namespace Radishplank {

/// What a process says when it is asked whether it runs a job.
enum class OwnerAnswer {
    Runs,
    DoesNotRun,
    None, ///< It did not answer in time.
};

/// Asks the process that accepts calls of peers at an endpoint whether it runs a job; may suspend
/// the calling fiber.
template<typename Probe>
concept JobOwnerProbe = requires(Probe probe, const Endpoint &owner, const std::string &job)
{
    {
        probe(owner, job)
        } -> std::same_as<OwnerAnswer>;
};

/// Jobs that the store assigns to other processes, of which it is not certain that their owners
/// know of them. Performs no I/O; used on one thread.
class UnconfirmedOwners
{
public:
    explicit UnconfirmedOwners(const PeerTable &peers)
        : m_peers(peers)
    {
    }

    struct Entry
    {
        NodeId owner;
        /// When this process first saw the job under another owner.
        TimePoint since{};
    };
    using Entries = std::map<std::string, Entry>;

    void note(const std::string &job, const NodeId &owner, TimePoint now);
    void forget(const std::string &job) { m_entries.erase(job); }
    [[nodiscard]] const Entries &entries() const { return m_entries; }

    enum class Step {
        None,     ///< A process runs the job.
        Ask,      ///< The owner has to be asked.
        TakeOver, ///< The owner is gone, and this process takes the job over.
        Wait,     ///< The owner may report the job yet, or its successor take the job over.
    };
    [[nodiscard]] Step nextStep(const std::string &job, const Entry &entry, TimePoint now) const;

private:
    const PeerTable &m_peers;
    Entries m_entries;
};

} // namespace Radishplank

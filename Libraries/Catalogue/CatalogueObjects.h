#pragma once

#include <Core/Core.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Online work has a caller waiting for the response; batch work may be deferred.
enum class WorkClass { Online, Batch };

/// Limits of an owner or an entry across the fleet; 0 means unlimited.
struct Limits
{
    double requestsPerSecond = 0;
    double burstRequests = 0;
    std::int64_t concurrentRequests = 0;
    std::int64_t concurrentItems = 0;
};

/// An organisation that is a customer of the system.
struct Owner
{
    OwnerId id;
    /// SHA-256 of each bearer token, in hexadecimal; the tokens themselves are never stored.
    std::vector<std::string> tokenDigests;
    double weight = 1;
    Limits limits;
    /// Takes precedence over the priority of a route; 0 is the most urgent.
    std::optional<unsigned> priority;
};

enum class EntryKind { Model, Service };
enum class EntryClass { Online, Batch, Any };

/// Matches calls that must not be retried, by method and path prefix.
struct NonIdempotentCall
{
    std::string method;
    std::string path;
};

/// A catalogue entry: a model or service that an owner may call, and the upstream pool that serves
/// it.
struct Entry
{
    OwnerId owner;
    EntryName name;
    std::string pool;
    EntryKind kind = EntryKind::Model;
    EntryClass entryClass = EntryClass::Any;
    Milliseconds deadline{60'000};
    Limits limits;
    std::vector<NonIdempotentCall> nonIdempotent;

    [[nodiscard]] bool accepts(WorkClass workClass) const;
    [[nodiscard]] bool isIdempotent(std::string_view method, std::string_view path) const;
};

enum class MemberState { Live, Leaving };

/// The registration of an agent.
struct AgentMember
{
    UpstreamId id;
    Endpoint data;
    Endpoint control;
    ZoneName zone;
    RegionName region;
    std::vector<std::string> pools;
    /// Models that its engine can load on demand; its pool is then the loaded model, if any.
    std::vector<std::string> models;
    std::int64_t slots = 0;
    MemberState state = MemberState::Live;
};

/// The registration of an entry process.
struct NodeMember
{
    NodeId id;
    Endpoint control;
    ZoneName zone;
    RegionName region;
};

/// Key prefixes of the catalogue and the cluster members in the store.
inline constexpr std::string_view configurationPrefix = "config/";
inline constexpr std::string_view ownerPrefix = "config/owners/";
inline constexpr std::string_view entryPrefix = "config/entries/";
inline constexpr std::string_view agentPrefix = "config/agents/";
inline constexpr std::string_view nodePrefix = "config/nodes/";

/// Parse and validate one object; errors are added to the findings with their location.
Owner parseOwner(const OwnerId &id, const boost::json::object &object, Findings &findings);
Entry parseEntry(const OwnerId &owner, const EntryName &name, const boost::json::object &object,
                 Findings &findings);
AgentMember parseAgent(const UpstreamId &id, const boost::json::object &object, Findings &findings);
NodeMember parseNode(const NodeId &id, const boost::json::object &object, Findings &findings);

[[nodiscard]] boost::json::object toJson(const AgentMember &agent);
[[nodiscard]] boost::json::object toJson(const NodeMember &node);

/// Validates an owner or entry object before it is written under the configuration prefix.
Findings checkConfigurationObject(std::string_view key, std::string_view value);

} // namespace Radishplank

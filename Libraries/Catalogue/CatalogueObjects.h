#pragma once

#include <Core/Core.h>

#include <string>
#include <string_view>
#include <vector>

namespace Radishplank {

/// Whether somebody waits for the answer now, or the work may wait.
enum class WorkClass { Online, Batch };

/// What an owner or an entry may use across the fleet; 0 is unlimited.
struct Limits
{
    double requestsPerSecond = 0;
    double burstRequests = 0;
    std::int64_t concurrentRequests = 0;
    std::int64_t concurrentItems = 0;
};

/// A customer of the system.
struct Owner
{
    OwnerId id;
    /// SHA-256 of the bearer token, in hexadecimal; the token itself is never stored.
    std::string tokenDigest;
    double weight = 1;
    Limits limits;
};

enum class EntryKind { Model, Service };
enum class EntryClass { Online, Batch, Any };

/// A kind of call that must not be repeated.
struct NonIdempotentCall
{
    std::string method;
    std::string path;
};

/// One line of the catalogue: what an owner may call, and which pool of upstreams serves it.
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
    [[nodiscard]] bool mayRepeat(std::string_view method, std::string_view path) const;
};

enum class MemberState { Live, Leaving };

/// An agent, as it registers itself.
struct AgentMember
{
    UpstreamId id;
    Endpoint data;
    Endpoint control;
    ZoneName zone;
    RegionName region;
    std::vector<std::string> pools;
    /// Models that its engine loads on order; then the pool is the one loaded, if any.
    std::vector<std::string> models;
    std::int64_t slots = 0;
    MemberState state = MemberState::Live;
};

/// An entry process, as it registers itself.
struct EntryMember
{
    NodeId id;
    Endpoint control;
    ZoneName zone;
    RegionName region;
};

/// Where the catalogue and the members lie in the store.
inline constexpr std::string_view configurationPrefix = "config/";
inline constexpr std::string_view ownerPrefix = "config/owners/";
inline constexpr std::string_view entryPrefix = "config/entries/";
inline constexpr std::string_view agentPrefix = "config/agents/";
inline constexpr std::string_view nodePrefix = "config/nodes/";

/// Parse and check one object of the catalogue; faults are added with their place.
Owner parseOwner(const OwnerId &id, const boost::json::object &object, Findings &findings);
Entry parseEntry(const OwnerId &owner, const EntryName &name, const boost::json::object &object,
                 Findings &findings);
AgentMember parseAgent(const UpstreamId &id, const boost::json::object &object, Findings &findings);
EntryMember parseNode(const NodeId &id, const boost::json::object &object, Findings &findings);

[[nodiscard]] boost::json::object toJson(const AgentMember &agent);
[[nodiscard]] boost::json::object toJson(const EntryMember &node);

/// Checks the value of an object under the configuration prefix before it is written.
Findings checkConfigurationObject(std::string_view key, std::string_view value);

} // namespace Radishplank

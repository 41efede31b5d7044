#pragma once

#include <Core/Core.h>

namespace Radishplank {

/// Settings that both roles of the daemon share.
struct CommonSettings
{
    std::string node;
    std::string zone;
    std::string region;
    Endpoint controlListen{"127.0.0.1", 0};
    Endpoint controlAdvertise;
    Endpoint operatorListen{"127.0.0.1", 0};
    Endpoint store;
    Milliseconds storeTimeout{1'000};
    std::string secret;
    std::string operatorToken;
    std::uint64_t threads = 2;
    Milliseconds drainTimeout{120'000};
    /// Memory in MB and file descriptors of this process; 0 if unknown.
    std::uint64_t memoryLimit = 0;
    std::uint64_t descriptorLimit = 0;
    std::string logFormat = "text";
    std::string readyFile;
};

struct EntrySettings
{
    CommonSettings common;
    Endpoint callerListen{"127.0.0.1", 0};
    std::vector<std::string> seeds;
    Milliseconds lameDuck{2'000};
    Milliseconds lease{12'000};
    std::string routing = "balanced";
    /// A tenth of a link of 30 Mbit/s.
    double batchLinkBytes = 375'000;
    Milliseconds uploadTime{1'800'000};
    Milliseconds callMemory{86'400'000};
    Milliseconds placementInterval{5'000};
    Milliseconds placementDwell{60'000};
    Milliseconds loadInterval{10'000};
};

struct AgentRoleSettings
{
    CommonSettings common;
    Endpoint dataListen{"127.0.0.1", 0};
    Endpoint dataAdvertise;
    Endpoint upstream;
    std::string kind = "model";
    std::vector<std::string> pools;
    std::vector<std::string> models;
    std::uint64_t slots = 4;
    std::uint64_t onlineQueue = 16;
    std::uint64_t batchQueue = 2;
    std::string scheduling = "online-first";
};

void bindCommonSettings(Settings &settings, CommonSettings &values);
void bindEntrySettings(Settings &settings, EntrySettings &values);
void bindAgentSettings(Settings &settings, AgentRoleSettings &values);

/// Returns the address to advertise: the configured one, or else the listening one.
[[nodiscard]] Endpoint advertisedEndpoint(const Endpoint &setting, const Endpoint &listening);

/// Validates the parsed values, including how they depend on each other, and adds to the findings.
void checkCommonSettings(const CommonSettings &values, Findings &findings);
void checkEntrySettings(const EntrySettings &values, Findings &findings);
void checkAgentSettings(const AgentRoleSettings &values, Findings &findings);

} // namespace Radishplank

#pragma once

#include "ClientCrowd.h"
#include "ProcessUsage.h"

namespace Radishplank::Test {

/// The machine that the settings of these tests describe. Half of the smallest one, so that a small
/// crowd suffices.
constexpr std::size_t memoryLimitMegabytes = 48;
constexpr std::size_t memoryLimitBytes = memoryLimitMegabytes * 1024 * 1024;
constexpr std::size_t descriptorLimit = 256;
/// Largest body of a request.
constexpr std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;

// The plans take the request line and header fields, without the empty line.

/// Bodies of the legal size; all clients send a piece in turn, and most stop 64 KiB short.
CrowdPlan bodiesInPieces(const std::string &head);
/// As above, but each client sends as much as the connection takes before the next one sends.
CrowdPlan wholeBodies(const std::string &head);
/// Chunked bodies of the legal size in chunks of 64 KiB; most stop before the last chunk.
CrowdPlan largeChunks(const std::string &head);
/// Chunked bodies of 512 KiB in chunks of 8 bytes; most stop before the last chunk.
CrowdPlan smallChunks(const std::string &head);
/// Trailers of 4 MiB after a chunked body, which do not end.
CrowdPlan endlessTrailers(const std::string &head);
/// More connections than the process may have descriptors; each sends the bytes and then nothing.
CrowdPlan idleConnections(const std::string &bytes);

/// Describes the crowd and what the process has used; also prints that if the environment variable
/// PRINT_CROWDS is set.
std::string describeCrowd(const ClientCrowd &crowd, const ProcessUsage &usage);

} // namespace Radishplank::Test

#pragma once

#include <Core/Endpoint.h>

#include <cstddef>
#include <string>

namespace Radishplank::Test {

/// Reads from /proc what a process uses.
class ProcessUsage
{
public:
    explicit ProcessUsage(int processId);

    /// Samples the unread bytes and the open descriptors, whose peaks the kernel does not record.
    /// Returns the bytes that connections to the address have received and the process has not
    /// read.
    std::size_t sample(const Endpoint &listening);

    /// Returns the largest resident size so far, in bytes.
    [[nodiscard]] std::size_t peakMemory() const;
    /// Returns the most bytes seen in the receive queues of connections to the sampled address.
    [[nodiscard]] std::size_t peakUnreadBytes() const { return m_peakUnreadBytes; }
    [[nodiscard]] std::size_t peakDescriptors() const { return m_peakDescriptors; }

private:
    std::string m_directory;
    std::size_t m_peakUnreadBytes = 0;
    std::size_t m_peakDescriptors = 0;
};

} // namespace Radishplank::Test

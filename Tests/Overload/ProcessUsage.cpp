#include "ProcessUsage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace Radishplank::Test {

namespace {

/// Formats an address as /proc/net/tcp does.
std::string kernelAddress(const Endpoint &endpoint)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08X:%04X", ::inet_addr(endpoint.address.c_str()),
                  endpoint.port);
    return text.data();
}

std::size_t unreadBytesAt(const Endpoint &listening)
{
    constexpr std::string_view listenState = "0A";
    constexpr int hexadecimal = 16;
    const auto local = kernelAddress(listening);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        fields >> number >> from >> to >> state >> queues;
        // The receive queue of a listening socket counts connections.
        if (from == local && state != listenState)
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return bytes;
}

} // namespace

ProcessUsage::ProcessUsage(int processId)
    : m_directory("/proc/" + std::to_string(processId))
{
}

std::size_t ProcessUsage::sample(const Endpoint &listening)
{
    const auto unread = unreadBytesAt(listening);
    m_peakUnreadBytes = std::max(m_peakUnreadBytes, unread);
    std::error_code code;
    const std::filesystem::directory_iterator descriptors(m_directory + "/fd", code);
    const auto count = std::distance(begin(descriptors), end(descriptors));
    m_peakDescriptors = std::max(m_peakDescriptors, static_cast<std::size_t>(count));
    return unread;
}

std::size_t ProcessUsage::peakMemory() const
{
    constexpr std::string_view field = "VmHWM:";
    std::ifstream status(m_directory + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) * 1024;
    }
    return 0;
}

} // namespace Radishplank::Test

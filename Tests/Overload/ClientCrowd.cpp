#include "ClientCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Radishplank::Test {

namespace {

/// A server that reads nothing for this long reads no more from these clients.
constexpr int stallMilliseconds = 3'000;
constexpr std::size_t finishingShare = 10;

int connectTo(const Endpoint &server)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    address.sin_addr.s_addr = ::inet_addr(server.address.c_str());
    if (handle < 0
        || ::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to " + server.text());
    return handle;
}

} // namespace

ClientCrowd::ClientCrowd(const Endpoint &server, CrowdPlan plan)
    : m_plan(std::move(plan))
{
    const auto incomplete = m_plan.head.size() + m_plan.piece.size() * m_plan.pieces;
    for (std::size_t i = 0; i < m_plan.clients; ++i) {
        const bool isFinishing = i % finishingShare == 0;
        m_clients.push_back(
                {connectTo(server), 0, incomplete + (isFinishing ? m_plan.ending.size() : 0), 0});
    }
}

ClientCrowd::~ClientCrowd()
{
    for (auto &client : m_clients)
        close(client);
}

void ClientCrowd::run(const std::function<void()> &observe)
{
    while (true) {
        std::vector<pollfd> waiting;
        std::vector<Client *> clients;
        bool hasMore = false;
        for (auto &client : m_clients) {
            if (client.socket < 0)
                continue;
            const bool isSending = client.sent < client.total;
            hasMore = hasMore || isSending;
            const int events = isSending ? POLLIN | POLLOUT : POLLIN;
            waiting.push_back({client.socket, static_cast<short>(events), 0});
            clients.push_back(&client);
        }
        if (!hasMore || ::poll(waiting.data(), waiting.size(), stallMilliseconds) <= 0)
            return observe();
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            const auto ready = static_cast<unsigned>(waiting[i].revents);
            if ((ready & static_cast<unsigned>(POLLIN | POLLHUP | POLLERR)) != 0
                && !receive(*clients[i]))
                continue;
            if ((ready & static_cast<unsigned>(POLLOUT)) != 0)
                send(*clients[i]);
        }
        observe();
    }
}

std::size_t ClientCrowd::openConnections() const
{
    return static_cast<std::size_t>(
            std::count_if(m_clients.begin(), m_clients.end(),
                          [](const Client &client) { return client.socket >= 0; }));
}

std::size_t ClientCrowd::responses(unsigned status) const
{
    return static_cast<std::size_t>(
            std::count_if(m_clients.begin(), m_clients.end(),
                          [&](const Client &client) { return client.status == status; }));
}

std::string_view ClientCrowd::nextBytes(const Client &client) const
{
    const std::string_view head = m_plan.head;
    if (client.sent < head.size())
        return head.substr(client.sent);
    const auto offset = client.sent - head.size();
    const auto bodySize = m_plan.piece.size() * m_plan.pieces;
    if (offset < bodySize)
        return std::string_view(m_plan.piece).substr(offset % m_plan.piece.size());
    return std::string_view(m_plan.ending).substr(offset - bodySize);
}

bool ClientCrowd::send(Client &client) const
{
    std::size_t turn = 0;
    while (turn < m_plan.bytesPerTurn && client.sent < client.total) {
        const auto bytes = nextBytes(client).substr(0, m_plan.bytesPerTurn - turn);
        const auto sent
                = ::send(client.socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR)
                close(client);
            break;
        }
        turn += static_cast<std::size_t>(sent);
        client.sent += static_cast<std::size_t>(sent);
    }
    return turn > 0;
}

bool ClientCrowd::receive(Client &client)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t statusSize = 3;
    std::array<char, 4096> bytes{};
    const auto received = ::recv(client.socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
    if (received <= 0) {
        close(client);
        return false;
    }
    const std::string_view text(bytes.data(), static_cast<std::size_t>(received));
    if (client.status == 0 && text.starts_with(version) && text.size() > 12)
        client.status = static_cast<unsigned>(
                std::stoul(std::string(text.substr(version.size(), statusSize))));
    return true;
}

void ClientCrowd::close(Client &client)
{
    if (client.socket >= 0)
        ::close(client.socket);
    client.socket = -1;
}

} // namespace Radishplank::Test

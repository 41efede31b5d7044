#pragma once

#include <Core/Endpoint.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Radishplank::Test {

/// What each client of a crowd sends, and that it then keeps its connection open.
struct CrowdPlan
{
    std::size_t clients = 0;
    std::string head;
    /// Sent repeatedly after the head.
    std::string piece;
    std::size_t pieces = 0;
    /// Sent at the end by every tenth client; the others stop before it.
    std::string ending;
    /// Bytes that a client sends before it is the turn of the next one.
    std::size_t bytesPerTurn = 0;
};

/// Clients that send bytes to a server at the same time and ignore its responses.
class ClientCrowd
{
public:
    ClientCrowd(const Endpoint &server, CrowdPlan plan);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /// Sends until every client has sent its plan or been cut off, or none makes progress any more.
    /// Calls `observe` between the turns.
    void run(const std::function<void()> &observe);
    /// Returns how many connections the server has not closed.
    [[nodiscard]] std::size_t openConnections() const;
    /// Returns how many clients have received a response with the given status.
    [[nodiscard]] std::size_t responses(unsigned status) const;

private:
    struct Client
    {
        int socket = -1;
        std::size_t sent = 0;
        std::size_t total = 0;
        unsigned status = 0;
    };

    /// Returns the bytes that follow the ones already sent, up to the end of their part.
    [[nodiscard]] std::string_view nextBytes(const Client &client) const;
    /// Sends what the socket takes, up to one turn. Returns whether anything was sent.
    bool send(Client &client) const;
    static bool receive(Client &client);
    static void close(Client &client);

    CrowdPlan m_plan;
    std::vector<Client> m_clients;
};

} // namespace Radishplank::Test

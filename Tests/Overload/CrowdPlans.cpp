#include "CrowdPlans.h"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace Radishplank::Test {

namespace {

constexpr std::size_t clients = 150;
constexpr std::size_t pieceBytes = std::size_t{64} * 1024;

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

CrowdPlan body(const std::string &head, std::size_t bytesPerTurn)
{
    const std::string piece(pieceBytes, 'x');
    return {clients, head + "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n\r\n",
            piece,   maxBodyBytes / pieceBytes - 1,
            piece,   bytesPerTurn};
}

CrowdPlan chunks(const std::string &head, const std::string &piece, std::size_t pieces,
                 const std::string &ending)
{
    return {clients,   head + "Transfer-Encoding: chunked\r\n\r\n", piece, pieces, ending,
            pieceBytes};
}

} // namespace

CrowdPlan bodiesInPieces(const std::string &head)
{
    return body(head, pieceBytes);
}

CrowdPlan wholeBodies(const std::string &head)
{
    return body(head, maxBodyBytes);
}

CrowdPlan largeChunks(const std::string &head)
{
    return chunks(head, chunk(pieceBytes), maxBodyBytes / pieceBytes - 1, "0\r\n\r\n");
}

CrowdPlan smallChunks(const std::string &head)
{
    constexpr std::size_t chunkBytes = 8;
    constexpr std::size_t totalBytes = std::size_t{512} * 1024;
    // Several chunks form a piece, as a client sends them together.
    constexpr std::size_t chunksPerPiece = 1024;
    return chunks(head, repeated(chunk(chunkBytes), chunksPerPiece),
                  totalBytes / chunkBytes / chunksPerPiece, "0\r\n\r\n");
}

CrowdPlan endlessTrailers(const std::string &head)
{
    const auto trailers = repeated("X-Trailer: " + std::string(53, 'x') + "\r\n", 1024);
    return chunks(head, chunk(1) + "0\r\n" + trailers, 1, repeated(trailers, 64));
}

CrowdPlan idleConnections(const std::string &bytes)
{
    return {descriptorLimit + 100, bytes, "", 0, "", pieceBytes};
}

std::string describeCrowd(const ClientCrowd &crowd, const ProcessUsage &usage)
{
    std::ostringstream text;
    text << "peak memory " << usage.peakMemory() / 1024 << " KiB, unread "
         << usage.peakUnreadBytes() / 1024 << " KiB, descriptors " << usage.peakDescriptors()
         << "; connections still open " << crowd.openConnections()
         << ", responses 200: " << crowd.responses(200) << ", 503: " << crowd.responses(503)
         << ", 413: " << crowd.responses(413);
    if (std::getenv("PRINT_CROWDS") != nullptr)
        std::cout << text.str() << '\n';
    return text.str();
}

} // namespace Radishplank::Test

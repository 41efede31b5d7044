#pragma once

#include <Core/Endpoint.h>
#include <Core/Metrics.h>
#include <Net/Net.h>
#include <Store/ObjectStore.h>

namespace Radishplank {

/// HTTP client of the platform's object store; usable from any fiber.
class HttpObjectStore
{
public:
    HttpObjectStore(Endpoint endpoint, Milliseconds callTimeout);

    Result<StoredObject> get(std::string_view key);
    Result<Version> put(std::string_view key, std::string value, Version expected);
    Result<void> remove(std::string_view key, Version expected);
    Result<ObjectPage> list(std::string_view prefix, std::string_view after, ListContent content);
    Result<WatchBatch> watch(std::string_view prefix, Version since, Milliseconds wait);

    [[nodiscard]] const Counter &reads() const { return m_reads; }
    [[nodiscard]] const Counter &writes() const { return m_writes; }
    [[nodiscard]] const Counter &failures() const { return m_failures; }

private:
    Result<HttpResponse> call(const HttpRequest &request, Milliseconds timeout);

    Endpoint m_endpoint;
    Milliseconds m_callTimeout;
    Counter m_reads;
    Counter m_writes;
    Counter m_failures;
};

static_assert(ObjectStore<HttpObjectStore>);

} // namespace Radishplank

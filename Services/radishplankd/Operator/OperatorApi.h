#pragma once

#include "Fleet/ConfigurationSync.h"
#include "Fleet/PlacementController.h"
#include "Jobs/BatchScheduler.h"

namespace Radishplank {

/// The HTTP interface of an entry process for operators.
///
/// With the bearer token: `GET /state`, `GET /catalogue`, `GET|PUT|DELETE /catalogue/owners/OWNER`
/// and `/catalogue/entries/OWNER/ENTRY` (writes are conditional on `If-Version`),
/// `GET /catalogue-status`. Without a token: `GET /metrics`, `/healthz`, `/readyz`.
class OperatorApi
{
public:
    OperatorApi(EntryContext &context, ConfigurationSync &sync, BatchScheduler &batch,
                PlacementController &placement, const std::string &token);

    void handle(HttpExchange &exchange);
    /// Makes /readyz report that this process accepts no new callers.
    void setDraining() { m_isDraining = true; }

private:
    void handleCatalogue(HttpExchange &exchange, const std::string &name);
    void listCatalogue(HttpExchange &exchange);
    void getObject(HttpExchange &exchange, const std::string &key);
    void putObject(HttpExchange &exchange, const std::string &key);
    void deleteObject(HttpExchange &exchange, const std::string &key);
    void showState(HttpExchange &exchange);
    void showMetrics(HttpExchange &exchange);
    void showReadiness(HttpExchange &exchange);

    EntryContext &m_context;
    ConfigurationSync &m_sync;
    BatchScheduler &m_batch;
    PlacementController &m_placement;
    std::string m_tokenDigest;
    std::atomic<bool> m_isDraining{false};
};

/// Returns whether the request carries the bearer token with the given digest.
[[nodiscard]] bool hasBearerToken(const HttpRequest &request, const std::string &digest);

} // namespace Radishplank

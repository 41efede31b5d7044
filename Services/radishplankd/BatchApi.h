#pragma once

#include "BatchScheduler.h"
#include "EntryContext.h"

#include <Batch/Batch.h>

namespace Radishplank {

/// The HTTP interface for batch jobs: `PUT`, `GET`, `DELETE /v1/batches/NAME`,
/// `GET /v1/batches/NAME/results` and `GET /v1/batches`.
class BatchApi
{
public:
    BatchApi(EntryContext &context, BatchScheduler &scheduler);

    void handle(HttpExchange &exchange, const OwnerId &owner, const HttpTarget &target);

private:
    void submit(HttpExchange &exchange, const JobKey &job, const HttpTarget &target);
    Result<JobManifest> readJob(HttpExchange &exchange, const JobKey &job, JobManifest manifest,
                                bool writesParts);
    Result<void> storeParts(const JobKey &job, JobManifest &manifest,
                            const std::vector<ItemSplitter::Part> &parts, bool writesParts);
    Result<JobManifest> newManifest(const JobKey &job, const HttpTarget &target);
    void showStatus(HttpExchange &exchange, const JobKey &job);
    void sendResults(HttpExchange &exchange, const JobKey &job);
    void cancel(HttpExchange &exchange, const JobKey &job);
    void list(HttpExchange &exchange, const OwnerId &owner);

    EntryContext &m_context;
    BatchScheduler &m_scheduler;
    FiberJobStore m_jobs;
};

} // namespace Radishplank

#pragma once

#include "Entry/EntryContext.h"
#include "Jobs/BatchScheduler.h"

#include <Batch/Batch.h>

namespace Radishplank {

/// HTTP API for batch jobs: `PUT`, `GET`, `DELETE /v1/batches/NAME`,
/// `GET /v1/batches/NAME/results` and `GET /v1/batches`.
class BatchApi
{
public:
    /// Uploads that take longer than uploadTime are refused.
    BatchApi(EntryContext &context, BatchScheduler &scheduler, Milliseconds uploadTime);

    void handle(HttpExchange &exchange, const OwnerId &owner, const HttpTarget &target);

private:
    /// What happens to the parts that an uploaded body is split into.
    enum class PartHandling { Store, Discard };

    void submit(HttpExchange &exchange, const JobKey &job, const HttpTarget &target);
    Result<JobManifest> acceptNew(HttpExchange &exchange, const JobKey &job, JobManifest manifest);
    /// Compares the submitted items with the existing job of the same name.
    Result<JobManifest> compareWithExisting(HttpExchange &exchange, const JobKey &job,
                                            const JobManifest &existing);
    Result<JobManifest> readJob(HttpExchange &exchange, const JobKey &job, JobManifest manifest,
                                PartHandling handling);
    Result<void> storeParts(const JobKey &job, JobManifest &manifest,
                            const std::vector<ItemSplitter::UploadPart> &parts,
                            PartHandling handling);
    Result<JobManifest> newManifest(const JobKey &job, const HttpTarget &target);
    void showStatus(HttpExchange &exchange, const JobKey &job);
    void sendResults(HttpExchange &exchange, const JobKey &job);
    void cancel(HttpExchange &exchange, const JobKey &job);
    void list(HttpExchange &exchange, const OwnerId &owner);

    EntryContext &m_context;
    BatchScheduler &m_scheduler;
    FiberJobStore m_jobs;
    FiberUploadStore m_uploads;
    Milliseconds m_uploadTime;
};

} // namespace Radishplank

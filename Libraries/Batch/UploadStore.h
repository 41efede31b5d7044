#pragma once

#include <Batch/Upload.h>

namespace Radishplank {

/// Tracks uploads in progress, so that the parts of interrupted uploads can be garbage collected.
///
/// A record is written before an upload's first part and removed once its job exists, so every
/// orphaned part belongs to an upload that still has a record. The cost of reading all records
/// depends on the number of unfinished uploads, not on the number of stored jobs.
template<ObjectStore Store, typename Pause>
class UploadStore
{
public:
    UploadStore(Store &store, Pause pause, Duration retryTimeout)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_retryTimeout(retryTimeout)
    {
    }

    /// Creates the record of an upload, before its parts are written.
    Result<Upload> begin(const JobKey &job, const JobManifest &manifest, std::int64_t now)
    {
        Upload upload{manifest.upload, job, now, noVersion};
        const auto deadline = SteadyClock().now() + m_retryTimeout;
        upload.version
                = TRY(putConfirmed(m_store, upload.key(), serialize(upload), noVersion, m_pause,
                                   [deadline] { return SteadyClock().now() < deadline; }));
        return upload;
    }

    /// Removes the record of an upload and keeps its parts.
    Result<void> end(const Upload &upload) { return removeObject(upload.key(), upload.version); }

    /// Removes the parts and the record of an upload that no job uses. Only for an upload that can
    /// no longer become a job.
    Result<void> discard(const Upload &upload)
    {
        JobManifest manifest;
        manifest.upload = upload.id;
        const auto parts
                = TRY(listAll(m_store, manifest.partPrefix(upload.job), ListContent::KeysOnly));
        for (const auto &part : parts.objects)
            TRY(removeObject(part.key, part.version));
        return end(upload);
    }

    /// Discards the uploads that began before the given time and belong to no job, and returns
    /// their number. The caller must refuse uploads that take longer, or the parts of a job about
    /// to be created are lost.
    Result<std::size_t> sweep(std::int64_t begunBefore)
    {
        std::size_t discarded = 0;
        const auto records = TRY(listAll(m_store, uploadPrefix, ListContent::KeysAndValues));
        for (const auto &record : records.objects) {
            const auto upload = TRY(parseUpload(record));
            if (upload.begunAt >= begunBefore)
                continue;
            if (TRY(isPartOfJob(upload))) {
                TRY(end(upload));
                continue;
            }
            TRY(discard(upload));
            discarded += 1;
        }
        return discarded;
    }

private:
    Result<bool> isPartOfJob(const Upload &upload)
    {
        const auto manifest = m_store.get(upload.job.manifestKey());
        if (!manifest.isError())
            return TRY(parseManifest(manifest.value().value)).upload == upload.id;
        if (manifest.error().kind == ErrorKind::NotFound)
            return false;
        return manifest.error();
    }

    Result<void> removeObject(const std::string &key, Version version)
    {
        auto removed = m_store.remove(key, version);
        if (removed.isError() && removed.error().kind != ErrorKind::NotFound)
            return removed.takeError();
        return {};
    }

    Store &m_store;
    Pause m_pause;
    Duration m_retryTimeout;
};

} // namespace Radishplank

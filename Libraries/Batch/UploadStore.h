#pragma once

#include <Batch/Upload.h>

namespace Radishplank {

/// Keeps the parts of uploads that were cut off from staying in the store for ever.
///
/// An upload is noted before its first part and the note is removed after its job exists, so the
/// notes left over tell where parts may lie that belong to no job. Reading them all costs no more
/// than the uploads under way, however many jobs the store holds.
template<ObjectStore Store, typename Pause>
class UploadStore
{
public:
    UploadStore(Store &store, Pause pause, Duration patience)
        : m_store(store)
        , m_pause(std::move(pause))
        , m_patience(patience)
    {
    }

    /// Notes that parts are about to be written.
    Result<Upload> begin(const JobKey &job, const JobManifest &manifest, std::int64_t now)
    {
        Upload upload{manifest.upload, job, now, noVersion};
        const auto giveUpAt = SteadyClock().now() + m_patience;
        upload.version
                = TRY(putDecided(m_store, upload.key(), serialize(upload), noVersion, m_pause,
                                 [giveUpAt] { return SteadyClock().now() < giveUpAt; }));
        return upload;
    }

    /// Removes the note of an upload whose parts need no removal.
    Result<void> end(const Upload &upload) { return removeObject(upload.key(), upload.version); }

    /// Removes the parts of an upload that no job is made of, and its note. Only for an upload that
    /// can no longer become a job.
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

    /// Discards what is left of uploads begun before the given time; returns how many. Uploads
    /// that take longer must have been refused, else parts of a job to be are lost.
    Result<std::size_t> sweep(std::int64_t begunBefore)
    {
        std::size_t discarded = 0;
        const auto notes = TRY(listAll(m_store, uploadPrefix, ListContent::KeysAndValues));
        for (const auto &note : notes.objects) {
            const auto upload = TRY(parseUpload(note));
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
    Duration m_patience;
};

} // namespace Radishplank

#pragma once

#include <Batch/JobObjects.h>

namespace Radishplank {

/// Key prefix of the records of uploads in progress, including abandoned ones that never became a
/// job.
inline constexpr std::string_view uploadPrefix = "uploads/";

/// Record of an upload whose parts are being written to the store.
struct Upload
{
    std::string id;
    JobKey job;
    /// Milliseconds since the Unix epoch.
    std::int64_t begunAt = 0;
    /// Version of the record in the store.
    Version version = noVersion;

    [[nodiscard]] std::string key() const { return std::string(uploadPrefix) + id; }
};

[[nodiscard]] std::string serialize(const Upload &upload);
Result<Upload> parseUpload(const StoredObject &object);

} // namespace Radishplank

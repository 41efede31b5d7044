#pragma once

#include <Batch/JobObjects.h>

namespace Radishplank {

/// Every upload that has not become a job yet, and may never do so, has an object under this
/// prefix.
inline constexpr std::string_view uploadPrefix = "uploads/";

/// Parts of a job on their way into the store.
struct Upload
{
    std::string id;
    JobKey job;
    /// Milliseconds since the Unix epoch.
    std::int64_t begunAt = 0;
    /// Version of the object that notes the upload.
    Version version = noVersion;

    [[nodiscard]] std::string key() const { return std::string(uploadPrefix) + id; }
};

[[nodiscard]] std::string serialize(const Upload &upload);
Result<Upload> parseUpload(const StoredObject &object);

} // namespace Radishplank

#include <Batch/Upload.h>

namespace Radishplank {

std::string serialize(const Upload &upload)
{
    return boost::json::serialize(boost::json::object{{"owner", upload.job.owner.text()},
                                                      {"job", upload.job.name.text()},
                                                      {"begunAt", upload.begunAt}});
}

Result<Upload> parseUpload(const StoredObject &object)
{
    const auto fields = TRY(parseJsonObject(object.value));
    Findings findings;
    JsonReader reader(fields, "upload", findings);
    Upload upload;
    upload.id = object.key.substr(std::min(object.key.size(), uploadPrefix.size()));
    upload.job = {OwnerId(reader.requiredText("owner")), JobName(reader.requiredText("job"))};
    upload.begunAt = integerField(fields, "begunAt", 0);
    upload.version = object.version;
    if (!findings.isEmpty())
        return findings.toError();
    return upload;
}

} // namespace Radishplank

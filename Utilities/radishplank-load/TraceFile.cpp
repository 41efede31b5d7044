#include "TraceFile.h"

#include <fstream>

namespace Radishplank {

namespace {

constexpr std::int64_t maxTokens = 100'000;

} // namespace

Result<std::vector<TraceCall>> readTrace(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error{ErrorKind::NotFound, "cannot read " + path};
    std::vector<TraceCall> calls;
    Findings findings;
    std::string line;
    while (std::getline(file, line)) {
        const auto place = path + ":" + std::to_string(calls.size() + 1);
        const auto parsed = parseJsonObject(line);
        if (parsed.isError()) {
            findings.add(place, parsed.error().message);
            break;
        }
        JsonReader reader(parsed.value(), place, findings);
        reader.rejectUnknownFields(
                {"offsetMs", "owner", "entry", "prompt", "tokens", "idempotent"});
        TraceCall call;
        call.offset = std::chrono::microseconds(
                static_cast<std::int64_t>(reader.number("offsetMs", 0) * 1000));
        call.owner = reader.requiredText("owner");
        call.entry = reader.requiredText("entry");
        call.prompt = reader.requiredText("prompt");
        call.tokens = static_cast<std::uint64_t>(reader.integer("tokens", 1, 1, maxTokens));
        call.isIdempotent = reader.boolean("idempotent", true);
        calls.push_back(std::move(call));
    }
    if (!findings.isEmpty())
        return findings.toError();
    return calls;
}

Result<void> writeTrace(const std::string &path, const std::vector<TraceCall> &calls)
{
    std::ofstream file(path);
    for (const auto &call : calls) {
        file << boost::json::serialize(
                boost::json::object{{"offsetMs", static_cast<double>(call.offset.count()) / 1000},
                                    {"owner", call.owner},
                                    {"entry", call.entry},
                                    {"prompt", call.prompt},
                                    {"tokens", call.tokens},
                                    {"idempotent", call.isIdempotent}})
             << '\n';
    }
    if (!file)
        return Error{ErrorKind::Unavailable, "cannot write " + path};
    return {};
}

} // namespace Radishplank

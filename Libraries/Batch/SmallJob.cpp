#include <Batch/SmallJob.h>

#include <Net/HttpGrammar.h>

#include <boost/json.hpp>

namespace Radishplank {

namespace json = boost::json;

namespace {

constexpr std::string_view completedName = "completed";
constexpr std::string_view deadLetterName = "dead-letter";

json::object toJson(const JobItem &item)
{
    json::array headers;
    for (const auto &header : item.headers.all())
        headers.push_back(json::array{header.name, header.value});
    return {{"id", item.id},
            {"path", item.path},
            {"headers", std::move(headers)},
            {"body", encodeBase64(item.body)},
            {"tokens", item.tokens}};
}

Result<JobItem> parseItem(const json::value &value)
{
    const Error invalid{ErrorKind::InvalidInput, "a stored item is not readable"};
    const auto *fields = value.if_object();
    if (fields == nullptr)
        return invalid;
    JobItem item;
    item.id = textField(*fields, "id").value_or("");
    item.path = textField(*fields, "path").value_or("");
    item.body = TRY(decodeBase64(textField(*fields, "body").value_or("")));
    item.tokens = integerField(*fields, "tokens", 0);
    const auto *headers = fields->if_contains("headers");
    if (headers == nullptr || !headers->is_array())
        return invalid;
    for (const auto &header : headers->as_array()) {
        const auto *pair = header.if_array();
        if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string()
            || !(*pair)[1].is_string())
            return invalid;
        item.headers.add(std::string((*pair)[0].as_string()), std::string((*pair)[1].as_string()));
    }
    return item;
}

const json::array *arrayField(const json::object &object, std::string_view field)
{
    const auto *value = object.if_contains(field);
    return value != nullptr && value->is_array() ? &value->as_array() : nullptr;
}

bool isSameHeader(const HttpHeader &left, const HttpHeader &right)
{
    return left.name == right.name && left.value == right.value;
}

bool isSameItem(const JobItem &left, const JobItem &right)
{
    const auto &leftHeaders = left.headers.all();
    const auto &rightHeaders = right.headers.all();
    return left.id == right.id && left.path == right.path && left.body == right.body
           && std::equal(leftHeaders.begin(), leftHeaders.end(), rightHeaders.begin(),
                         rightHeaders.end(), isSameHeader);
}

} // namespace

Result<void> checkItem(const JobItem &item)
{
    const auto invalid = [](const std::string &message) {
        return Error{ErrorKind::InvalidInput, message};
    };
    constexpr std::string_view whitespace = " \t";
    // Servers send the id back without whitespace around it, and it would be that of another run.
    const bool isPadded = !item.id.empty()
                          && (whitespace.find(item.id.front()) != std::string_view::npos
                              || whitespace.find(item.id.back()) != std::string_view::npos);
    if (item.id.empty() || isPadded || !isHttpFieldValue(item.id))
        return invalid("id: is empty, or has control characters or spaces around it");
    if (!item.path.starts_with('/') || !isHttpTarget(item.path))
        return invalid("path: does not begin with a slash, or has spaces or control characters");
    if (const auto headers = checkHeaders(item.headers); headers.isError())
        return invalid("headers: " + headers.error().message);
    return {};
}

bool SmallJob::hasSameItems(const SmallJob &other) const
{
    return organisation == other.organisation
           && std::equal(items.begin(), items.end(), other.items.begin(), other.items.end(),
                         isSameItem);
}

std::int64_t SmallJob::tokens() const
{
    std::int64_t sum = 0;
    for (const auto &item : items)
        sum += item.tokens;
    return sum;
}

std::string serialize(const SmallJob &job)
{
    json::array items;
    for (const auto &item : job.items)
        items.push_back(toJson(item));
    return json::serialize(json::object{{"id", job.id},
                                        {"host", job.host},
                                        {"path", job.path},
                                        {"owner", job.owner.text()},
                                        {"organisation", job.organisation},
                                        {"submittedAt", job.submittedAt},
                                        {"items", std::move(items)}});
}

Result<SmallJob> parseSmallJob(std::string_view text)
{
    const auto fields = TRY(parseJsonObject(text));
    SmallJob job;
    job.id = textField(fields, "id").value_or("");
    job.host = textField(fields, "host").value_or("");
    job.path = textField(fields, "path").value_or("");
    job.owner = NodeId(textField(fields, "owner").value_or(""));
    job.organisation = textField(fields, "organisation").value_or("");
    job.submittedAt = integerField(fields, "submittedAt", 0);
    const auto *items = arrayField(fields, "items");
    if (job.id.empty() || items == nullptr)
        return Error{ErrorKind::InvalidInput, "a stored job lacks its name or its items"};
    for (const auto &item : *items)
        job.items.push_back(TRY(parseItem(item)));
    return job;
}

std::string serialize(const ResultSegment &segment)
{
    json::array results;
    for (const auto &result : segment.results) {
        const auto state = result.state == ItemState::Completed ? completedName : deadLetterName;
        results.push_back(
                json::object{{"item", result.item}, {"state", state}, {"output", result.output}});
    }
    return json::serialize(
            json::object{{"writer", segment.writer}, {"results", std::move(results)}});
}

Result<ResultSegment> parseResultSegment(std::string_view text)
{
    const auto fields = TRY(parseJsonObject(text));
    ResultSegment segment;
    segment.writer = textField(fields, "writer").value_or("");
    const auto *results = arrayField(fields, "results");
    if (results == nullptr)
        return Error{ErrorKind::InvalidInput, "a stored segment lacks its results"};
    for (const auto &value : *results) {
        const auto *result = value.if_object();
        if (result == nullptr)
            return Error{ErrorKind::InvalidInput, "a stored result is not readable"};
        const bool isCompleted = textField(*result, "state").value_or("") == completedName;
        segment.results.push_back({textField(*result, "item").value_or(""),
                                   isCompleted ? ItemState::Completed : ItemState::DeadLetter,
                                   textField(*result, "output").value_or("")});
    }
    return segment;
}

} // namespace Radishplank

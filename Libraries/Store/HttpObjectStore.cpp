#include <Store/HttpObjectStore.h>

#include <Core/Json.h>

#include <charconv>

namespace Radishplank {

namespace {

constexpr std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;

std::string objectTarget(std::string_view key)
{
    return "/objects/" + percentEncode(key);
}

Result<Version> versionOf(const HttpResponse &response)
{
    const auto text = response.headers.value("Version");
    Version version = noVersion;
    const char *end = text.data() + text.size();
    if (std::from_chars(text.data(), end, version).ptr != end || text.empty())
        return Error{ErrorKind::Unavailable, "the store answered without a version"};
    return version;
}

Error statusError(const HttpResponse &response)
{
    switch (response.status) {
    case 404:
        return {ErrorKind::NotFound, response.body};
    case 409:
        return {ErrorKind::Conflict, response.body};
    case 413:
        return {ErrorKind::TooLarge, response.body};
    default:
        return {ErrorKind::Unavailable,
                "the store answered with status " + std::to_string(response.status)};
    }
}

Result<StoredObject> parseObject(const boost::json::value &value)
{
    if (!value.is_object())
        return Error{ErrorKind::Unavailable, "the store listed something that is no object"};
    const auto &fields = value.as_object();
    StoredObject object;
    object.key = textField(fields, "key").value_or("");
    object.value = textField(fields, "value").value_or("");
    object.version = static_cast<Version>(integerField(fields, "version", 0));
    return object;
}

Result<boost::json::object> parseResponse(const HttpResponse &response, std::string_view listField)
{
    if (response.status != 200)
        return statusError(response);
    auto parsed = TRY(parseJsonObject(response.body));
    const auto *elements = parsed.if_contains(listField);
    if (elements == nullptr || !elements->is_array())
        return Error{ErrorKind::Unavailable, "the store's answer lacks its list"};
    return parsed;
}

} // namespace

HttpObjectStore::HttpObjectStore(Endpoint endpoint, Milliseconds callTimeout)
    : m_endpoint(std::move(endpoint))
    , m_callTimeout(callTimeout)
{
}

Result<StoredObject> HttpObjectStore::get(std::string_view key)
{
    m_reads.increase();
    auto response = TRY(call({"GET", objectTarget(key), {}, ""}, m_callTimeout));
    if (response.status != 200)
        return statusError(response);
    const auto version = TRY(versionOf(response));
    return StoredObject{std::string(key), std::move(response.body), version};
}

Result<Version> HttpObjectStore::put(std::string_view key, std::string value, Version expected)
{
    m_writes.increase();
    HttpRequest request{"PUT", objectTarget(key), {}, std::move(value)};
    request.headers.add("If-Version", std::to_string(expected));
    const auto response = TRY(call(request, m_callTimeout));
    if (response.status != 200)
        return statusError(response);
    return versionOf(response);
}

Result<void> HttpObjectStore::remove(std::string_view key, Version expected)
{
    m_writes.increase();
    HttpRequest request{"DELETE", objectTarget(key), {}, ""};
    request.headers.add("If-Version", std::to_string(expected));
    const auto response = TRY(call(request, m_callTimeout));
    if (response.status != 200)
        return statusError(response);
    return {};
}

Result<ObjectPage> HttpObjectStore::list(std::string_view prefix, std::string_view after,
                                         ListContent content)
{
    m_reads.increase();
    std::string target = "/objects?prefix=" + percentEncode(prefix);
    target += "&after=" + percentEncode(after);
    target += content == ListContent::KeysAndValues ? "&values=true" : "&values=false";
    const auto response = TRY(call({"GET", target, {}, ""}, m_callTimeout));
    auto parsed = TRY(parseResponse(response, "objects"));
    ObjectPage page;
    page.revision = static_cast<Version>(integerField(parsed, "revision", 0));
    page.isLast
            = parsed.contains("last") && parsed.at("last").is_bool() && parsed.at("last").as_bool();
    for (const auto &element : parsed.at("objects").as_array())
        page.objects.push_back(TRY(parseObject(element)));
    return page;
}

Result<WatchBatch> HttpObjectStore::watch(std::string_view prefix, Version since, Milliseconds wait)
{
    m_reads.increase();
    std::string target = "/watch?prefix=" + percentEncode(prefix);
    target += "&since=" + std::to_string(since) + "&wait=" + std::to_string(wait.count());
    const auto response = TRY(call({"GET", target, {}, ""}, wait + m_callTimeout));
    auto parsed = TRY(parseResponse(response, "changes"));
    WatchBatch batch;
    batch.revision = static_cast<Version>(integerField(parsed, "revision", 0));
    for (const auto &element : parsed.at("changes").as_array()) {
        ObjectChange change{TRY(parseObject(element)), false};
        const auto *removed = element.as_object().if_contains("removed");
        change.isRemoval = removed != nullptr && removed->is_bool() && removed->as_bool();
        batch.changes.push_back(std::move(change));
    }
    return batch;
}

Result<HttpResponse> HttpObjectStore::call(const HttpRequest &request, Milliseconds timeout)
{
    HttpCallOptions options;
    options.connectTimeout = std::min(timeout, m_callTimeout);
    options.readTimeout = timeout;
    options.bodyBytes = maxResponseBytes;
    auto result = HttpClient::fetch(m_endpoint, request, options);
    if (result.isError())
        m_failures.increase();
    return result;
}

} // namespace Radishplank

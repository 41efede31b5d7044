#include <Batch/ItemSplitter.h>

#include <Net/HttpGrammar.h>

namespace Radishplank {

namespace {

/// Fits into the heads that agents accept.
constexpr std::size_t maxRequestLineBytes = std::size_t{8} * 1024;

/// Returns what is wrong with the request line that an item asks for; empty if it is valid.
std::string findRequestLineFault(const boost::json::object &item)
{
    const auto method = textField(item, "method").value_or("POST");
    const auto path = textField(item, "path").value_or("/");
    if (!isHttpToken(method))
        return "the 'method' is not a method of HTTP";
    if (!path.starts_with('/') || !isHttpTarget(path))
        return "the 'path' does not begin with a slash, or has spaces or control characters";
    if (method.size() + path.size() > maxRequestLineBytes)
        return "the 'method' and 'path' are too long";
    return {};
}

} // namespace

Result<std::vector<ItemSplitter::UploadPart>> ItemSplitter::addChunk(std::string_view chunk)
{
    m_digest.append(chunk);
    std::vector<UploadPart> parts;
    m_unfinishedLine += chunk;
    std::size_t begin = 0;
    for (auto end = m_unfinishedLine.find('\n'); end != std::string::npos;
         end = m_unfinishedLine.find('\n', begin)) {
        TRY(addLine(std::string_view(m_unfinishedLine).substr(begin, end - begin), parts));
        begin = end + 1;
    }
    m_unfinishedLine.erase(0, begin);
    if (m_unfinishedLine.size() > m_limits.bytesPerItem) {
        m_lineNumber += 1;
        return lineError(ErrorKind::TooLarge, "the line is too long");
    }
    return parts;
}

Result<std::vector<ItemSplitter::UploadPart>> ItemSplitter::finish()
{
    std::vector<UploadPart> parts;
    if (!m_unfinishedLine.empty())
        TRY(addLine(m_unfinishedLine, parts));
    m_unfinishedLine.clear();
    if (m_part.items > 0)
        parts.push_back(std::move(m_part));
    m_part = {};
    if (m_items == 0)
        return Error{ErrorKind::InvalidInput, "the job has no items"};
    return parts;
}

Result<void> ItemSplitter::addLine(std::string_view line, std::vector<UploadPart> &parts)
{
    m_lineNumber += 1;
    if (line.find_first_not_of(" \t\r") == std::string_view::npos)
        return {};
    TRY(checkLine(line));
    m_items += 1;
    if (m_items > m_limits.itemsPerJob) {
        return lineError(ErrorKind::TooLarge,
                         "a job has at most " + std::to_string(m_limits.itemsPerJob) + " items");
    }
    const bool isFull = m_part.items == m_limits.itemsPerShard
                        || m_part.lines.size() + line.size() > m_limits.bytesPerShard;
    if (m_part.items > 0 && isFull) {
        parts.push_back(std::move(m_part));
        m_part = {};
    }
    m_part.lines += line;
    m_part.lines += '\n';
    m_part.items += 1;
    return {};
}

Result<void> ItemSplitter::checkLine(std::string_view line)
{
    if (line.size() > m_limits.bytesPerItem)
        return lineError(ErrorKind::TooLarge, "the line is too long");
    const auto parsed = parseJsonObject(line);
    if (parsed.isError())
        return lineError(ErrorKind::InvalidInput, parsed.error().message);
    const auto &item = parsed.value();
    const auto id = textField(item, "id");
    if (!id || id->empty())
        return lineError(ErrorKind::InvalidInput, "the item needs an 'id' that is a string");
    if (!item.contains("body"))
        return lineError(ErrorKind::InvalidInput, "the item needs a 'body'");
    for (const auto &member : item) {
        const std::string_view name = member.key();
        if (name != "id" && name != "body" && name != "path" && name != "method"
            && name != "idempotent")
            return lineError(ErrorKind::InvalidInput, "unknown field '" + std::string(name) + "'");
    }
    if (const auto fault = findRequestLineFault(item); !fault.empty())
        return lineError(ErrorKind::InvalidInput, fault);
    if (!m_identifiers.insert(stableHash(*id)).second)
        return lineError(ErrorKind::InvalidInput, "the id '" + *id + "' has been used before");
    return {};
}

Error ItemSplitter::lineError(ErrorKind kind, const std::string &message) const
{
    return {kind, "line " + std::to_string(m_lineNumber) + ": " + message};
}

} // namespace Radishplank

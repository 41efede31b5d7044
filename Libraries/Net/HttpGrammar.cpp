#include <Net/HttpGrammar.h>

#include <algorithm>

namespace Radishplank {

namespace {

bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == deleteCharacter;
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    const bool isAlphanumeric = (character >= '0' && character <= '9')
                                || (character >= 'a' && character <= 'z')
                                || (character >= 'A' && character <= 'Z');
    return isAlphanumeric || punctuation.find(character) != std::string_view::npos;
}

} // namespace

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isHttpFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char character) { return isControl(character) && character != '\t'; });
}

bool isHttpTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char character) {
        return isControl(character) || character == ' ';
    });
}

// The values are not part of the messages: they may be credentials, and are not printable.

Result<void> checkHeaders(const HttpHeaders &headers)
{
    for (const auto &header : headers.all()) {
        if (!isHttpToken(header.name))
            return Error{ErrorKind::InvalidInput, "the name of a header is not valid"};
        if (!isHttpFieldValue(header.value)) {
            return Error{ErrorKind::InvalidInput,
                         "the value of the header " + header.name + " has control characters"};
        }
    }
    return {};
}

Result<void> checkRequestHead(const HttpRequest &request)
{
    if (!isHttpToken(request.method))
        return Error{ErrorKind::InvalidInput, "the method of the request is not valid"};
    if (!isHttpTarget(request.target)) {
        return Error{ErrorKind::InvalidInput,
                     "the target of the request is empty, or has spaces or control characters"};
    }
    return checkHeaders(request.headers);
}

} // namespace Radishplank

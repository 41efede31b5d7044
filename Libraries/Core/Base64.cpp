#include <Core/Base64.h>

#include <openssl/evp.h>

namespace Radishplank {

namespace {

/// Number of characters that encode three bytes.
constexpr std::size_t encodedGroupLength = 4;

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating null character.
    std::string text((bytes.size() + 2) / 3 * encodedGroupLength + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

Result<std::string> decodeBase64(std::string_view text)
{
    const Error invalid{ErrorKind::InvalidInput, "the text is not base64"};
    if (text.empty())
        return std::string();
    if (text.size() % encodedGroupLength != 0)
        return invalid;
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=')
        padding += 1;
    std::string bytes(text.size() / encodedGroupLength * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       asBytes(text), static_cast<int>(text.size()));
    if (length < 0)
        return invalid;
    // EVP_DecodeBlock counts the padding as decoded bytes.
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace Radishplank

#include <Core/Hash.h>

#include <array>
#include <openssl/evp.h>
#include <xxhash.h>

namespace Radishplank {

std::string sha256Hex(std::string_view text)
{
    Sha256Stream stream;
    stream.append(text);
    return stream.finishHex();
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Sha256Stream::Sha256Stream()
    : m_context(EVP_MD_CTX_new())
{
    EVP_DigestInit_ex(static_cast<EVP_MD_CTX *>(m_context), EVP_sha256(), nullptr);
}

Sha256Stream::~Sha256Stream()
{
    EVP_MD_CTX_free(static_cast<EVP_MD_CTX *>(m_context));
}

void Sha256Stream::append(std::string_view text)
{
    EVP_DigestUpdate(static_cast<EVP_MD_CTX *>(m_context), text.data(), text.size());
}

std::string Sha256Stream::finishHex()
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_DigestFinal_ex(static_cast<EVP_MD_CTX *>(m_context), digest.data(), &length);
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += hexDigits[digest[i] >> 4U];
        text += hexDigits[digest[i] & 15U];
    }
    return text;
}

} // namespace Radishplank

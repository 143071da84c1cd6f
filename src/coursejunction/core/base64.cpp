#include "coursejunction/core/base64.hpp"

#include <openssl/evp.h>

namespace coursejunction
{

std::string to_base64(std::string_view bytes)
{
    // The encoder appends a terminating null byte.
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto count =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(count));
    return text;
}

result<std::string> from_base64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const auto count =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (count < 0)
        return failure(error_kind::refused, "not valid base64");
    auto size = static_cast<std::size_t>(count);
    // The block decoder includes the padding in its count.
    if (text.ends_with("=="))
        size -= 2;
    else if (text.ends_with("="))
        size -= 1;
    bytes.resize(size);
    return bytes;
}

} // namespace coursejunction

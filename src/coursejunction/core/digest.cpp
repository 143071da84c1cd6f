#include "coursejunction/core/digest.hpp"

#include <algorithm>
#include <cstring>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include "coursejunction/core/assert.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::string_view hex_digits = "0123456789abcdef";

const unsigned char* unsigned_data(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char*>(bytes.data());
}

int hex_value(char digit)
{
    const auto at = hex_digits.find(digit);
    return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

} // namespace internal

digest digest::of(std::string_view bytes)
{
    digest computed;
    SHA256(internal::unsigned_data(bytes), bytes.size(), computed.raw.data());
    return computed;
}

result<digest> digest::parse(std::string_view text)
{
    auto bytes = from_hex(text);
    if (!bytes || bytes.value().size() != size)
        return failure(
            error_kind::invalid,
            "a SHA-256 digest must have 64 lower-case hexadecimal digits");
    digest parsed;
    std::memcpy(parsed.raw.data(), bytes.value().data(), size);
    return parsed;
}

std::string digest::hex() const
{
    return to_hex({reinterpret_cast<const char*>(raw.data()), raw.size()});
}

std::string keyed_digest(std::string_view key, std::string_view bytes)
{
    std::string code(digest::size, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         internal::unsigned_data(bytes), bytes.size(),
         reinterpret_cast<unsigned char*>(code.data()), &length);
    return code;
}

message_code keyed_code(std::string_view key, std::string_view first,
                        std::string_view second)
{
    // Implements HMAC itself to avoid a copy that joins the two parts.
    constexpr std::size_t block_size = 64;
    std::array<unsigned char, block_size> pad{};
    if (key.size() > block_size)
    {
        const auto key_digest = digest::of(key);
        std::copy(key_digest.bytes().begin(), key_digest.bytes().end(),
                  pad.begin());
    }
    else
    {
        std::copy(key.begin(), key.end(), pad.begin());
    }
    auto inner = pad;
    auto outer = pad;
    for (auto& byte : inner)
        byte ^= 0x36;
    for (auto& byte : outer)
        byte ^= 0x5c;
    digest::value_type inner_hash{};
    SHA256_CTX state;
    SHA256_Init(&state);
    SHA256_Update(&state, inner.data(), inner.size());
    SHA256_Update(&state, first.data(), first.size());
    SHA256_Update(&state, second.data(), second.size());
    SHA256_Final(inner_hash.data(), &state);
    digest::value_type outer_hash{};
    SHA256_Init(&state);
    SHA256_Update(&state, outer.data(), outer.size());
    SHA256_Update(&state, inner_hash.data(), inner_hash.size());
    SHA256_Final(outer_hash.data(), &state);
    message_code code{};
    std::copy_n(outer_hash.begin(), code.size(), code.begin());
    return code;
}

std::string to_hex(std::string_view bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char one : bytes)
    {
        const auto value = static_cast<unsigned char>(one);
        text.push_back(internal::hex_digits[value >> 4U]);
        text.push_back(internal::hex_digits[value & 15U]);
    }
    return text;
}

result<std::string> from_hex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return failure(error_kind::invalid, "odd number of hexadecimal digits");
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t at = 0; at < text.size(); at += 2)
    {
        const int high = internal::hex_value(text[at]);
        const int low = internal::hex_value(text[at + 1]);
        if (high < 0 || low < 0)
            return failure(error_kind::invalid,
                           "not a lower-case hexadecimal digit");
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    const int status =
        RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                   static_cast<int>(count));
    COURSEJUNCTION_ASSERT(status == 1, "the random number generator failed");
    return bytes;
}

std::string random_id()
{
    constexpr std::size_t id_bytes = 16;
    return to_hex(random_bytes(id_bytes));
}

std::uint64_t stable_hash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace coursejunction

std::size_t std::hash<coursejunction::digest>::operator()(
    const coursejunction::digest& it) const
{
    std::size_t value = 0;
    std::memcpy(&value, it.bytes().data(), sizeof(value));
    return value;
}

/*! @file
 * @brief SHA-256 digests, HMACs, hexadecimal text and random identifiers.
 */
#ifndef COURSEJUNCTION_CORE_DIGEST_HPP
#define COURSEJUNCTION_CORE_DIGEST_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"

namespace coursejunction
{

/*! @brief A SHA-256 digest (FIPS 180-4). */
class digest
{
public:
    static constexpr std::size_t size = 32;
    using value_type = std::array<std::uint8_t, size>;

    digest() = default;

    [[nodiscard]] static digest of(std::string_view bytes);

    /*! @brief Parses 64 lower-case hexadecimal digits.
     * @return The digest, or `invalid`. */
    [[nodiscard]] static result<digest> parse(std::string_view text);

    /*! @brief Returns 64 lower-case hexadecimal digits. */
    [[nodiscard]] std::string hex() const;

    [[nodiscard]] const value_type& bytes() const noexcept { return raw; }

    /*! @brief Returns whether all bytes are zero, as in a default-constructed
     * digest. */
    [[nodiscard]] bool empty() const { return raw == value_type{}; }

    friend auto operator<=>(const digest&, const digest&) = default;

    /*! @brief Serializes the raw bytes. */
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(raw);
    }

private:
    value_type raw{};
};

/*! @brief An HMAC-SHA256 (RFC 2104) truncated to 16 bytes. */
using message_code = std::array<std::uint8_t, 16>;

/*! @brief Computes the truncated HMAC of the concatenation of two byte
 * strings. */
[[nodiscard]] message_code keyed_code(std::string_view key,
                                      std::string_view first,
                                      std::string_view second);

/*! @brief Computes an HMAC-SHA256: 32 raw bytes. */
[[nodiscard]] std::string keyed_digest(std::string_view key,
                                       std::string_view bytes);

/*! @brief Encodes bytes as lower-case hexadecimal digits. */
[[nodiscard]] std::string to_hex(std::string_view bytes);

/*! @brief Decodes lower-case hexadecimal digits.
 * @return The bytes, or `invalid`. */
[[nodiscard]] result<std::string> from_hex(std::string_view text);

/*! @brief Returns cryptographically secure random bytes (OpenSSL); aborts the
 * process if none are available. */
[[nodiscard]] std::string random_bytes(std::size_t count);

/*! @brief Returns a random identifier of 32 hexadecimal digits. */
[[nodiscard]] std::string random_id();

/*! @brief Non-cryptographic 64-bit hash that is the same in every process
 * (XXH3). */
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes);

} // namespace coursejunction

/*! @brief Uses the first bytes of a digest as its hash. */
template <>
struct std::hash<coursejunction::digest>
{
    std::size_t operator()(const coursejunction::digest& it) const;
};

#endif

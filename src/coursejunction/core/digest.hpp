/*! @file
 * @brief SHA-256 digests, keyed digests and random identifiers.
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

/*! @brief SHA-256 of some bytes (FIPS 180-4). */
class digest
{
public:
    static constexpr std::size_t size = 32;
    using value_type = std::array<std::uint8_t, size>;

    digest() = default;

    /*! @brief Computes the digest of bytes. */
    [[nodiscard]] static digest of(std::string_view bytes);

    /*! @brief Reads 64 hexadecimal digits.
     * @return The digest, or `invalid`. */
    [[nodiscard]] static result<digest> parse(std::string_view text);

    /*! @brief Returns 64 lower-case hexadecimal digits. */
    [[nodiscard]] std::string hex() const;

    /*! @brief Returns the raw bytes. */
    [[nodiscard]] const value_type& bytes() const noexcept { return raw; }

    /*! @brief Tells whether the digest was never set. */
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

/*! @brief First bytes of an HMAC-SHA256 (RFC 2104). */
using message_code = std::array<std::uint8_t, 16>;

/*! @brief Computes the keyed code of two runs of bytes in order. */
[[nodiscard]] message_code keyed_code(std::string_view key,
                                      std::string_view first,
                                      std::string_view second);

/*! @brief Computes a full HMAC-SHA256 as raw bytes. */
[[nodiscard]] std::string keyed_digest(std::string_view key,
                                       std::string_view bytes);

/*! @brief Returns bytes as hexadecimal digits. */
[[nodiscard]] std::string to_hex(std::string_view bytes);

/*! @brief Reads hexadecimal digits.
 * @return The bytes, or `invalid`. */
[[nodiscard]] result<std::string> from_hex(std::string_view text);

/*! @brief Returns random bytes of the operating system. */
[[nodiscard]] std::string random_bytes(std::size_t count);

/*! @brief Returns a random identifier of 32 hexadecimal digits. */
[[nodiscard]] std::string random_id();

/*! @brief 64-bit hash that is the same in every process (xxHash). */
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes);

} // namespace coursejunction

/*! @brief Hashes a digest by its first bytes. */
template <>
struct std::hash<coursejunction::digest>
{
    std::size_t operator()(const coursejunction::digest& it) const;
};

#endif

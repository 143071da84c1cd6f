/*! @file
 * @brief Identifies requests with the same content under different ids;
 * performs no I/O.
 */
#ifndef COURSEJUNCTION_CORE_REQUEST_CONTENT_HPP
#define COURSEJUNCTION_CORE_REQUEST_CONTENT_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"

namespace coursejunction
{

/*! @brief Digest of a request, or of a part of its prompt. That of a request is
 * the first 16 bytes of a SHA-256 over the caller, the target and the digest of
 * the whole body. It includes the caller, so that no caller can cause another
 * caller's request to be quarantined. With 128 bits, finding a second request
 * with the same digest is infeasible. */
class request_content
{
public:
    static constexpr std::size_t size = 16;
    using value_type = std::array<std::uint8_t, size>;

    request_content() = default;

    explicit request_content(const value_type& bytes) : raw(bytes) {}

    /*! @brief Computes the digest.
     * @param caller Organisation that sends the request; empty if unknown.
     * @param target Path and query. */
    [[nodiscard]] static request_content
    of(std::string_view caller, std::string_view target, std::string_view body);

    /*! @brief Computes the digest of a part of a prompt, which differs from
     * that of any request. It is the same for all callers.
     * @param service Service that the part was sent to. */
    [[nodiscard]] static request_content of_part(std::string_view service,
                                                 std::string_view part);

    /*! @brief Parses 32 lower-case hexadecimal digits.
     * @return The digest, or `invalid`. */
    [[nodiscard]] static result<request_content> parse(std::string_view text);

    /*! @brief Returns 32 lower-case hexadecimal digits. */
    [[nodiscard]] std::string hex() const;

    [[nodiscard]] const value_type& bytes() const noexcept { return raw; }

    friend auto operator<=>(const request_content&,
                            const request_content&) = default;

    /*! @brief Serializes the raw bytes. */
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(raw);
    }

private:
    [[nodiscard]] static request_content from_text(std::string_view text);

    value_type raw{};
};

} // namespace coursejunction

#endif

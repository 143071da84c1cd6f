/*! @file
 * @brief Items of the platform's store by which named versions stay known when
 * every process starts again; pure.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_RECORD_HPP
#define COURSEJUNCTION_FLEET_VERSION_RECORD_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"

namespace coursejunction
{

/*! @brief Keys of these items begin so; the model follows. */
inline constexpr std::string_view version_record_prefix = "version/";

/*! @brief How far a version that somebody else than the operator's name tells
 * may be ahead of the newest that is known: a spoilt number would bind for
 * good. */
inline constexpr std::uint64_t max_version_step = 1000;

/*! @brief Tells whether a version may be believed after a known one. */
[[nodiscard]] constexpr bool plausible_successor(std::uint64_t known,
                                                 std::uint64_t version) noexcept
{
    return version <= known || version - known <= max_version_step;
}

/*! @brief What is known of a model's versions. Both only rise. */
struct version_record
{
    std::string model;
    std::uint64_t newest{0};  /*!< That was ever named. */
    std::uint64_t minimum{0}; /*!< Older ones begin no request any more. */

    /*! @brief Tells whether this says all that another record does. */
    [[nodiscard]] bool covers(const version_record& other) const noexcept
    {
        return newest >= other.newest && minimum >= other.minimum;
    }

    /*! @brief Takes over what another record knows beyond this one. */
    void merge(const version_record& other)
    {
        newest = std::max(newest, other.newest);
        minimum = std::max(minimum, other.minimum);
    }
};

/*! @brief Tells whether a record may be believed.
 * @param vouched The newest version that anything but a record tells. */
[[nodiscard]] inline bool plausible(const version_record& record,
                                    std::uint64_t vouched) noexcept
{
    return plausible_successor(vouched,
                               std::max(record.newest, record.minimum));
}

/*! @brief Returns the key of a model's item. */
[[nodiscard]] std::string version_record_key(const std::string& model);

/*! @brief Makes an item's payload. */
[[nodiscard]] std::string version_record_payload(const version_record& record);

/*! @brief Reads an item.
 * @return The record, or `invalid`. */
[[nodiscard]] result<version_record>
read_version_record(std::string_view key, std::string_view payload);

} // namespace coursejunction

#endif

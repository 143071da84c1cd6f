/*! @file
 * @brief Records in the platform's store from which published versions are
 * restored after every process was restarted; pure.
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

/*! @brief Prefix of the keys of version records; the model follows. */
inline constexpr std::string_view version_record_prefix = "version/";

/*! @brief How far a version from any source but the operator's key may be above
 * the newest known one: versions are never lowered, and a corrupted number
 * would stay in force permanently. */
inline constexpr std::uint64_t max_version_step = 1000;

/*! @brief Returns whether a version is plausible, given the newest known one.
 */
[[nodiscard]] constexpr bool plausible_successor(std::uint64_t known,
                                                 std::uint64_t version) noexcept
{
    return version <= known || version - known <= max_version_step;
}

/*! @brief What is known of a model's versions: the newest that an operator
 * published, and the minimum version, the lowest that may begin new requests.
 * Both only increase; 0 if none is known. */
struct version_record
{
    std::string model;
    std::uint64_t newest{0};
    std::uint64_t minimum{0};

    /*! @brief Returns whether neither number is below another record's. */
    [[nodiscard]] bool covers(const version_record& other) const noexcept
    {
        return newest >= other.newest && minimum >= other.minimum;
    }

    /*! @brief Raises the numbers to those of another record of the model. */
    void merge(const version_record& other)
    {
        newest = std::max(newest, other.newest);
        minimum = std::max(minimum, other.minimum);
    }
};

/*! @brief Returns whether a record is plausible.
 * @param corroborated The newest version that some source other than a version
 * record reported. */
[[nodiscard]] inline bool plausible(const version_record& record,
                                    std::uint64_t corroborated) noexcept
{
    return plausible_successor(corroborated,
                               std::max(record.newest, record.minimum));
}

/*! @brief Returns the key of a model's record. */
[[nodiscard]] std::string version_record_key(const std::string& model);

/*! @brief Serializes a record. */
[[nodiscard]] std::string version_record_payload(const version_record& record);

/*! @brief Parses a record.
 * @return The record, or `invalid` if it is malformed, belongs to another key,
 * or has a minimum above its newest version. */
[[nodiscard]] result<version_record>
read_version_record(std::string_view key, std::string_view payload);

} // namespace coursejunction

#endif

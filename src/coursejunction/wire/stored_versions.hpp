/*! @file
 * @brief Encoding of a model's versions in the platform's store.
 */
#ifndef COURSEJUNCTION_WIRE_STORED_VERSIONS_HPP
#define COURSEJUNCTION_WIRE_STORED_VERSIONS_HPP

#include <cstdint>
#include <string>

namespace coursejunction::message
{

/*! @brief A `version_record`, as encoded in the platform's store. */
struct stored_versions
{
    std::string model;
    std::uint64_t newest{0};  /*!< Newest published version. */
    std::uint64_t minimum{0}; /*!< Lowest version for new requests. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, newest, minimum);
    }
};

} // namespace coursejunction::message

#endif

/*! @file
 * @brief What the platform's store keeps of a model's versions.
 */
#ifndef COURSEJUNCTION_WIRE_STORED_VERSIONS_HPP
#define COURSEJUNCTION_WIRE_STORED_VERSIONS_HPP

#include <cstdint>
#include <string>

namespace coursejunction::message
{

/*! @brief A `version_record` as the platform's store keeps it. */
struct stored_versions
{
    std::string model;
    std::uint64_t newest{0};
    std::uint64_t minimum{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, newest, minimum);
    }
};

} // namespace coursejunction::message

#endif

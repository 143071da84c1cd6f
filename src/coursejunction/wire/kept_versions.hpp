/*! @file
 * @brief What the platform's store keeps of a model's versions.
 */
#ifndef COURSEJUNCTION_WIRE_KEPT_VERSIONS_HPP
#define COURSEJUNCTION_WIRE_KEPT_VERSIONS_HPP

#include <cstdint>
#include <string>

namespace coursejunction::message
{

/*! @brief A `version_record` as the platform's store keeps it. */
struct kept_versions
{
    std::string model;
    std::uint64_t newest{0};
    std::uint64_t binding{0};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, newest, binding);
    }
};

} // namespace coursejunction::message

#endif

/*! @file
 * @brief Encoding of a checked load in the platform's store.
 */
#ifndef COURSEJUNCTION_WIRE_STORED_WEIGHTS_HPP
#define COURSEJUNCTION_WIRE_STORED_WEIGHTS_HPP

#include <cstdint>
#include <string>

namespace coursejunction::message
{

/*! @brief A `weights_record`, as encoded in the platform's store. */
struct stored_weights
{
    std::string model;
    std::uint64_t version{0};
    std::uint64_t life{0};     /*!< Incarnation of the upstream; 0: unknown. */
    std::uint64_t sequence{0}; /*!< Load commands that it had accepted. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(model, version, life, sequence);
    }
};

} // namespace coursejunction::message

#endif

/*! @file
 * @brief Message by which two processes compare their mirrors of the store.
 */
#ifndef COURSEJUNCTION_WIRE_MIRROR_SUM_HPP
#define COURSEJUNCTION_WIRE_MIRROR_SUM_HPP

#include <cstdint>

#include "coursejunction/core/store_position.hpp"

namespace coursejunction::message
{

/*! @brief Checksum of the keys that a mirror holds at its position. */
struct mirror_sum
{
    store_position position;
    /*! @brief Sum of one hash for each key and its revision. */
    std::uint64_t sum{0};
    std::uint32_t keys{0};
    /*! @brief The mirror holds nothing newer than its position. Otherwise its
     * sum is not that of any position of the store. */
    bool settled{false};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(position, sum, keys, settled);
    }
};

} // namespace coursejunction::message

#endif

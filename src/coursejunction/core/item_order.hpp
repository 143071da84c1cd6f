/*! @file
 * @brief The order in which a value's writer wrote it; pure.
 */
#ifndef COURSEJUNCTION_CORE_ITEM_ORDER_HPP
#define COURSEJUNCTION_CORE_ITEM_ORDER_HPP

#include <compare>
#include <cstdint>

namespace coursejunction
{

/*! @brief A number that a value's writer raises with each change, whatever the
 * store's revision; both 0 when it has none. */
struct item_order
{
    std::uint64_t life{0};  /*!< Of the writer. */
    std::uint64_t count{0}; /*!< Within that life. */

    friend auto operator<=>(const item_order&, const item_order&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(life, count);
    }
};

} // namespace coursejunction

#endif

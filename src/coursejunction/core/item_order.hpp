/*! @file
 * @brief Sequence number that the writer of a value assigns; performs no I/O.
 */
#ifndef COURSEJUNCTION_CORE_ITEM_ORDER_HPP
#define COURSEJUNCTION_CORE_ITEM_ORDER_HPP

#include <compare>
#include <cstdint>

namespace coursejunction
{

/*! @brief Orders the changes that one writer made to a value, independently of
 * the store's revision. Both members are 0 if the writer assigns no order. */
struct item_order
{
    std::uint64_t life{0};  /*!< Incarnation of the writer. */
    std::uint64_t count{0}; /*!< Sequence number within it. */

    friend auto operator<=>(const item_order&, const item_order&) = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(life, count);
    }
};

} // namespace coursejunction

#endif

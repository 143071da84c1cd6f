/*! @file
 * @brief How values of the store's keys are compared across its eras; pure.
 */
#ifndef COURSEJUNCTION_FLEET_ITEM_RULES_HPP
#define COURSEJUNCTION_FLEET_ITEM_RULES_HPP

#include <functional>
#include <string>

#include "coursejunction/core/item_order.hpp"

namespace coursejunction
{

/*! @brief Rules for values that other programs write. */
struct item_rules
{
    /*! @brief Returns a value's order among the values of its key, as its
     * writer numbers them; `item_order{}` if it has none. */
    std::function<item_order(const std::string& key,
                             const std::string& payload)>
        order;

    /*! @brief Returns whether a known value stays valid after a rollback of the
     * store that lost it, until its writer writes the key again. */
    std::function<bool(const std::string& key)> survives_rollback;
};

} // namespace coursejunction

#endif

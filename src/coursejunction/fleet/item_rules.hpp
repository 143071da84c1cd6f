/*! @file
 * @brief How values of the store are compared across its eras; pure.
 */
#ifndef COURSEJUNCTION_FLEET_ITEM_RULES_HPP
#define COURSEJUNCTION_FLEET_ITEM_RULES_HPP

#include <functional>
#include <string>

#include "coursejunction/core/item_order.hpp"

namespace coursejunction
{

/*! @brief What is known of keys that others write. */
struct item_rules
{
    /*! @brief Returns a value's place in its writer's own order. */
    std::function<item_order(const std::string& key,
                             const std::string& payload)>
        order;

    /*! @brief Tells whether a value stands that a store which came back from
     * an older copy lacks, until its writer writes it again. */
    std::function<bool(const std::string& key)> survives_rollback;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief Which halls the operator evacuates, according to the mirror of the
 * store; pure.
 */
#ifndef COURSEJUNCTION_FLEET_HALL_EVACUATIONS_HPP
#define COURSEJUNCTION_FLEET_HALL_EVACUATIONS_HPP

#include <map>
#include <string>

#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/store_mirror.hpp"

namespace coursejunction
{

/*! @brief The evacuation of a hall, or its end. Upstreams of an evacuated hall
 * receive no request. */
struct hall_evacuation
{
    hall_id hall;
    store_position position; /*!< Of the change of the store. */
    bool evacuated{true};    /*!< Otherwise the evacuation has ended. */

    friend bool operator==(const hall_evacuation&,
                           const hall_evacuation&) = default;
};

/*! @brief The state of each hall that was ever evacuated. */
class hall_evacuations
{
public:
    /*! @brief Adds the key that evacuates a hall. */
    void add(const std::string& key, const hall_id& hall)
    {
        keys.emplace(key, hall);
    }

    /*! @brief Reads the state of all added keys. A key that is missing without
     * a known removal, since a rollback of the store lost it, keeps its state.
     * To be called after each change of the mirror: a rollback may change the
     * position of a value and report no change of its key. */
    void read(const store_mirror& mirror)
    {
        for (const auto& [key, hall] : keys)
        {
            if (mirror.absent_without_removal(key))
                continue;
            const auto& value = mirror.all().at(key);
            halls[hall] = {hall, value.position(), !value.removed};
        }
    }

    [[nodiscard]] const std::map<hall_id, hall_evacuation>& all() const
    {
        return halls;
    }

private:
    std::map<std::string, hall_id> keys;
    std::map<hall_id, hall_evacuation> halls;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief The kinds of values that the platform's store holds, and how they are
 * decoded; pure.
 */
#ifndef COURSEJUNCTION_FLEET_ITEM_CATALOGUE_HPP
#define COURSEJUNCTION_FLEET_ITEM_CATALOGUE_HPP

#include <concepts>
#include <cstdint>
#include <string>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"

namespace coursejunction
{

/*! @brief What kind of value a key of the store holds. */
enum class item_kind : std::uint8_t
{
    configuration,  /*!< Written by the operator. */
    upstream,       /*!< Written by the upstream itself. */
    version,        /*!< Version of a model that the operator published. */
    version_record, /*!< A `version_record`, written by entries. */
    quarantine,     /*!< A request that crashes upstreams. */
    /*! @brief Copy of the newest configuration, written by entries while the
     * operator's key holds an older one. */
    configuration_copy,
    evacuation, /*!< A hall whose upstreams receive no request, written by the
                   operator. */
    other
};

/*! @brief Returns the key of the configuration copy. */
[[nodiscard]] inline std::string configuration_copy_key()
{
    return "configuration/newest";
}

/*! @brief Classifies the platform's keys and parses their values; pure. */
template <typename Catalogue>
concept Item_catalogue = requires(const std::string& key,
                                  const std::string& payload)
{
    {
        Catalogue::kind(key)
        } -> std::same_as<item_kind>;
    {
        Catalogue::configuration(payload)
        } -> std::same_as<result<installation>>;
    {
        Catalogue::upstream(key, payload)
        } -> std::same_as<result<upstream_record>>;
    {
        Catalogue::upstream_id(key)
        } -> std::same_as<instance_id>;
    {
        Catalogue::version(payload)
        } -> std::same_as<result<version_target>>;
    {
        Catalogue::evacuated_hall(key)
        } -> std::same_as<hall_id>;
};

} // namespace coursejunction

#endif

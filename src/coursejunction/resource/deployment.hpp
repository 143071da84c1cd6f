/*! @file
 * @brief The resource that operators declare: which weights run where.
 */
#ifndef COURSEJUNCTION_RESOURCE_DEPLOYMENT_HPP
#define COURSEJUNCTION_RESOURCE_DEPLOYMENT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief What a rollout saves first. */
enum class rollout_objective : std::uint8_t
{
    time,  /*!< Time to N replicas; spare origin capacity may be used. */
    origin /*!< Origin bytes; one copy, however long it takes. */
};

/*! @brief How many replicas a hall runs, and on which upstreams. */
struct placement
{
    hall_id hall;
    std::size_t count{0};
    std::vector<std::string> selector;

    friend bool operator==(const placement&, const placement&) = default;
};

/*! @brief Spec of one deployment. */
struct deployment
{
    deployment_name name;
    std::string model;
    std::string adapter;
    std::string engine_role{"serve"};
    digest version;
    digest previous_version;
    std::vector<placement> placements;
    std::size_t max_closed_per_hall{1};
    rollout_objective objective{rollout_objective::time};
    bool paused{false};
    revision changed_revision;

    /*! @brief Reads a spec as an operator wrote it (JSON).
     * @return The spec, or `invalid` with a line that names the field. */
    [[nodiscard]] static result<deployment> parse(std::string_view text);

    /*! @brief Returns the spec as JSON. */
    [[nodiscard]] std::string to_json() const;

    friend bool operator==(const deployment&, const deployment&) = default;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief The resource that operators declare: which model version runs on how
 * many upstreams of each hall.
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

/*! @brief What a rollout minimises first. */
enum class rollout_objective : std::uint8_t
{
    time,  /*!< Time until all replicas serve; may use spare origin capacity. */
    origin /*!< Bytes from the origin: one copy, however long it takes. */
};

/*! @brief How many replicas a hall runs, and on which upstreams. */
struct placement
{
    hall_id hall;
    std::size_t count{0};              /*!< Replicas. */
    std::vector<std::string> selector; /*!< Labels an upstream must have. */

    friend bool operator==(const placement&, const placement&) = default;
};

/*! @brief Specification of one deployment. */
struct deployment
{
    deployment_name name;
    std::string model;
    std::string adapter; /*!< Passed to the engine; may be empty. */
    std::string engine_role{"serve"}; /*!< Passed to the engine. */
    digest version;                   /*!< SHA-256 of the manifest. */
    digest previous_version;          /*!< Target of an abort; may be empty. */
    std::vector<placement> placements;
    /*! @brief How many upstreams of a hall a rollout may close to requests at
     * the same time. */
    std::size_t max_closed_per_hall{1};
    rollout_objective objective{rollout_objective::time};
    bool paused{false};        /*!< The rollout closes no further replicas. */
    revision changed_revision; /*!< Revision that last changed it. */

    /*! @brief Parses a specification from JSON.
     * @return The specification, or `invalid` with a message that names the
     * first wrong field. */
    [[nodiscard]] static result<deployment> parse(std::string_view text);

    /*! @brief Returns the specification as JSON. */
    [[nodiscard]] std::string to_json() const;

    friend bool operator==(const deployment&, const deployment&) = default;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief Whether a request is tried at another upstream.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_RETRY_POLICY_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_RETRY_POLICY_HPP

#include "coursejunction/core/types.hpp"
#include "coursejunction/daemon/internal/live_request.hpp"
#include "coursejunction/run/retry_budget.hpp"

namespace coursejunction::internal
{

/*! @brief Tells whether a refusal speaks against the upstream that gave it. */
[[nodiscard]] constexpr bool is_fault_of_upstream(refusal why)
{
    return why != refusal::claim && why != refusal::cancelled &&
           why != refusal::duplicate;
}

/*! @brief Decides on retries and keeps them a portion of the requests;
 * pure. */
class retry_policy
{
public:
    /*! @brief Attempts that a request gets. */
    static constexpr unsigned max_attempts = 4;

    /*! @brief A request came. */
    void record_request() { budget.record_request(); }

    /*! @brief Decides on another attempt. Being refused by a gate or a full
     * side costs nobody work, so it spends none of the budget.
     * @param left Time to the deadline. */
    [[nodiscard]] bool allows(const live_request& one,
                              const attempt_failure& end, milliseconds left);

private:
    static constexpr double retry_portion = 0.1; /*!< Of the requests. */
    static constexpr double retry_depth = 20;    /*!< Retries saved at most. */

    retry_budget budget{retry_portion, retry_depth};
};

} // namespace coursejunction::internal

#endif

/*! @file
 * @brief Decides whether a failed attempt is followed by one at another
 * upstream.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_RETRY_POLICY_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_RETRY_POLICY_HPP

#include "coursejunction/core/types.hpp"
#include "coursejunction/daemon/internal/live_request.hpp"
#include "coursejunction/run/retry_budget.hpp"

namespace coursejunction::internal
{

/*! @brief Returns whether a refusal counts as a failure of the upstream. */
[[nodiscard]] constexpr bool is_fault_of_upstream(refusal why)
{
    return why != refusal::claim && why != refusal::cancelled &&
           why != refusal::duplicate;
}

/*! @brief Decides on further attempts, and limits those after failures to a
 * fraction of the requests; pure. */
class retry_policy
{
public:
    /*! @brief Maximum number of attempts of a request. */
    static constexpr unsigned max_attempts = 4;

    /*! @brief Records the arrival of a request, which adds to the budget. */
    void record_request() { budget.record_request(); }

    /*! @brief Returns whether another attempt is allowed. A refusal by a
     * closed, leaving or full sidecar costs no upstream any work, so the
     * attempt after it is free; those after failures spend from the budget.
     * @param left Time until the deadline. */
    [[nodiscard]] bool allows(const live_request& request,
                              const attempt_failure& failure,
                              milliseconds left);

private:
    static constexpr double retry_ratio = 0.1; /*!< Attempts per request. */
    static constexpr double max_budget = 20;   /*!< In attempts. */

    retry_budget budget{retry_ratio, max_budget};
};

} // namespace coursejunction::internal

#endif

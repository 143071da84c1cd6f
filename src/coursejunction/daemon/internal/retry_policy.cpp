#include "coursejunction/daemon/internal/retry_policy.hpp"

namespace coursejunction::internal
{

bool retry_policy::allows(const live_request& request,
                          const attempt_failure& failure, milliseconds left)
{
    // A begun stream can be resumed only with the same weights and sampling;
    // the request then runs twice.
    if (request.stream_begun &&
        (request.route.weights.empty() || request.not_repeatable))
        return false;
    if (request.attempt >= max_attempts || left.count() <= 0)
        return false;
    if (failure.result == outcome::unknown && request.not_repeatable)
        return false;
    switch (failure.refused)
    {
    case refusal::busy:
    case refusal::closed:
    case refusal::leaving:
        return true;
    case refusal::claim:
    case refusal::cancelled:
    case refusal::duplicate:
        return false;
    case refusal::none:
    case refusal::unreachable:
        return budget.try_spend();
    }
    return false;
}

} // namespace coursejunction::internal

#include "coursejunction/daemon/internal/retry_policy.hpp"

namespace coursejunction::internal
{

bool retry_policy::allows(const live_request& one, const attempt_failure& end,
                          milliseconds left)
{
    // A begun stream goes on only with the same weights and sampling.
    if (one.stream_begun && (one.route.weights.empty() || one.not_repeatable))
        return false;
    if (one.attempt >= max_attempts || left.count() <= 0)
        return false;
    if (end.result == outcome::unknown && one.not_repeatable)
        return false;
    switch (end.refused)
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

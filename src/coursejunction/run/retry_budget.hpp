/*! @file
 * @brief Limits retries to a fraction of the requests.
 */
#ifndef COURSEJUNCTION_RUN_RETRY_BUDGET_HPP
#define COURSEJUNCTION_RUN_RETRY_BUDGET_HPP

#include <algorithm>

namespace coursejunction
{

/*! @brief Token bucket for retries: each request adds a fraction of a token,
 * and each retry takes one, so that failures can't multiply the load. It starts
 * full. */
class retry_budget
{
public:
    /*! @param retry_ratio Tokens added by each request.
     * @param max_saved Size of the bucket. */
    retry_budget(double retry_ratio, double max_saved)
        : earned_per_request(retry_ratio), max_level(max_saved),
          level(max_saved)
    {
    }

    /*! @brief Adds the share of one request. */
    void record_request()
    {
        level = std::min(max_level, level + earned_per_request);
    }

    /*! @brief Takes a token for a retry.
     * @return Whether one was left. */
    [[nodiscard]] bool try_spend()
    {
        if (level < 1)
            return false;
        level -= 1;
        return true;
    }

private:
    double earned_per_request;
    double max_level;
    double level;
};

} // namespace coursejunction

#endif

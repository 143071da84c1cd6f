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
    /*! @param tokens_per_request Added by each request.
     * @param bucket_size Tokens that the bucket holds at most. */
    retry_budget(double tokens_per_request, double bucket_size)
        : added_per_request(tokens_per_request), capacity(bucket_size),
          tokens(bucket_size)
    {
    }

    /*! @brief Adds the tokens of one request. */
    void record_request()
    {
        tokens = std::min(capacity, tokens + added_per_request);
    }

    /*! @brief Takes a token for a retry.
     * @return Whether one was left. */
    [[nodiscard]] bool try_spend()
    {
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }

private:
    double added_per_request;
    double capacity;
    double tokens;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief Keeps retries from multiplying load.
 */
#ifndef COURSEJUNCTION_RUN_RETRY_BUDGET_HPP
#define COURSEJUNCTION_RUN_RETRY_BUDGET_HPP

#include <algorithm>

namespace coursejunction
{

/*! @brief Every first attempt earns a part of a retry; a retry spends one. So
 * retries stay a fixed portion of the requests whatever fails. */
class retry_budget
{
public:
    /*! @param portion Retries earned by each request.
     * @param most Retries that may be saved up. */
    retry_budget(double portion, double most)
        : earned(portion), depth(most), level(most)
    {
    }

    /*! @brief A request came. */
    void record_request() { level = std::min(depth, level + earned); }

    /*! @brief Spends one retry.
     * @return Whether one was left. */
    [[nodiscard]] bool try_spend()
    {
        if (level < 1)
            return false;
        level -= 1;
        return true;
    }

private:
    double earned;
    double depth;
    double level;
};

} // namespace coursejunction

#endif

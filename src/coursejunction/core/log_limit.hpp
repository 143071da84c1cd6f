/*! @file
 * @brief Decides which log lines are dropped; performs no I/O. */
#ifndef COURSEJUNCTION_CORE_LOG_LIMIT_HPP
#define COURSEJUNCTION_CORE_LOG_LIMIT_HPP

#include <cstdint>
#include <utility>

#include "coursejunction/core/pacing.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Limits the rate of log lines and counts those that are dropped. */
class log_limit
{
public:
    explicit log_limit(double lines_per_second)
        : bucket(lines_per_second, lines_per_second)
    {
    }

    /*! @brief Returns whether a line may be written. */
    [[nodiscard]] bool take(time_point now)
    {
        if (bucket.take(1, now))
            return true;
        ++dropped;
        return false;
    }

    /*! @brief Returns how many lines were dropped since the last report, if a
     * report is due, and 0 otherwise. A report after each drop would double the
     * lines of a busy process. */
    [[nodiscard]] std::uint64_t take_report(time_point now)
    {
        if (dropped == 0 || now < next_report)
            return 0;
        next_report = now + report_interval;
        return std::exchange(dropped, 0);
    }

private:
    static constexpr milliseconds report_interval{1000};

    token_bucket bucket;
    std::uint64_t dropped{0};
    time_point next_report{};
};

} // namespace coursejunction

#endif

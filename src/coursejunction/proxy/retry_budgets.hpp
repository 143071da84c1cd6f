/*! @file
 * @brief Limits the retries of each service. */
#ifndef COURSEJUNCTION_PROXY_RETRY_BUDGETS_HPP
#define COURSEJUNCTION_PROXY_RETRY_BUDGETS_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "coursejunction/core/types.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
#include "coursejunction/proxy/retry_token.hpp"
#include "coursejunction/run/retry_window.hpp"

namespace coursejunction
{

/*! @brief Holds one retry window for each service. The reserve is divided
 * between all entries. */
class retry_budgets
{
public:
    explicit retry_budgets(const exchange_options& options)
        : limits{options.retry_window, options.retry_ratio,
                 options.retry_reserve},
          count_memory(options.entry_count_memory)
    {
    }

    /*! @brief Sets the number of entries that share the reserve. What others
     * may have used of it is not given out again: an entry has no share until a
     * window after its start, which is the first call, but one retry, so that a
     * first request that fails is sent again. A smaller number counts only
     * after `entry_count_memory`, since entries that are cut off from each
     * other go on. */
    void set_entry_count(std::size_t count, time_point now)
    {
        if (!started_at)
            started_at = now;
        while (!counts.empty() && counts.back().second <= count)
            counts.pop_back();
        counts.emplace_back(now, std::max<std::size_t>(count, 1));
        while (now - counts.front().first >= count_memory)
            counts.pop_front();
        constexpr double retries_after_start = 1;
        share =
            now - *started_at < limits.window
                ? retries_after_start
                : limits.reserve / static_cast<double>(counts.front().second);
    }

    /*! @brief Returns the retry window of a service. */
    [[nodiscard]] retry_window& of(const service_name& service)
    {
        return *window_of(service);
    }

    /*! @brief Pays for a retry of a service.
     * @param kept Fraction of the budget that is left to other retries.
     * @return Null if the budget does not allow it. */
    [[nodiscard]] std::shared_ptr<retry_token>
    pay(const service_name& service, time_point now, double kept = 0)
    {
        const auto& window = window_of(service);
        return window->try_start(now, kept)
                   ? std::make_shared<retry_token>(window)
                   : nullptr;
    }

    /*! @brief Calls `visit` with each service and its retry window. */
    template <typename Visitor>
    void for_each(Visitor visit) const
    {
        for (const auto& [service, window] : windows)
            visit(service, *window);
    }

private:
    const std::shared_ptr<retry_window>& window_of(const service_name& service)
    {
        auto& found = windows[service];
        if (!found)
            found = std::make_shared<retry_window>(limits);
        found->set_reserve(share);
        return found;
    }

    retry_limits limits;
    std::map<service_name, std::shared_ptr<retry_window>> windows;
    milliseconds count_memory;
    double share{limits.reserve}; /*!< Of this entry. */
    std::optional<time_point> started_at;
    /*! @brief Numbers of entries within `count_memory` that no later one
     * exceeds, with their times. */
    std::deque<std::pair<time_point, std::size_t>> counts;
};

} // namespace coursejunction

#endif

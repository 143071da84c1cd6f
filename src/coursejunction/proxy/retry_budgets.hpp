/*! @file
 * @brief Limits the retries of each service. */
#ifndef COURSEJUNCTION_PROXY_RETRY_BUDGETS_HPP
#define COURSEJUNCTION_PROXY_RETRY_BUDGETS_HPP

#include <algorithm>
#include <cstddef>
#include <map>

#include "coursejunction/core/types.hpp"
#include "coursejunction/proxy/exchange_options.hpp"
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
                 options.retry_reserve}
    {
    }

    /*! @brief Sets the number of entries that share the reserve. */
    void set_entry_count(std::size_t count)
    {
        entry_count = std::max<std::size_t>(count, 1);
    }

    /*! @brief Returns the retry window of a service. */
    [[nodiscard]] retry_window& of(const service_name& service)
    {
        auto own = limits;
        own.reserve =
            std::max(limits.reserve / static_cast<double>(entry_count), 1.0);
        auto& found = windows.try_emplace(service, own).first->second;
        found.set_reserve(own.reserve);
        return found;
    }

private:
    retry_limits limits;
    std::map<service_name, retry_window> windows;
    std::size_t entry_count{1};
};

} // namespace coursejunction

#endif

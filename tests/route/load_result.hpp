/*! @file
 * @brief Results of a load replay.
 */
#ifndef COURSEJUNCTION_TESTS_ROUTE_LOAD_RESULT_HPP
#define COURSEJUNCTION_TESTS_ROUTE_LOAD_RESULT_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

namespace load_replay
{

/*! @brief Counts of requests by result. */
struct tally
{
    double requests{0};
    double in_time{0};
    double late{0};
    double refused{0}; /*!< Also on the retry. */
    double copies{0};  /*!< Sent to a second engine. */

    [[nodiscard]] double in_time_fraction() const { return in_time / requests; }
};

/*! @brief How well client retries were distinguished from new ones. */
struct recognition
{
    double new_clients{0};
    double new_mistaken{0}; /*!< New, but taken for a retry. */
    double retries{0};
    double retries_missed{0}; /*!< A retry, but taken for new. */

    [[nodiscard]] double recognised_fraction() const
    {
        return 1 - retries_missed / std::max(retries, 1.0);
    }

    [[nodiscard]] double mistaken_fraction() const
    {
        return new_mistaken / std::max(new_clients, 1.0);
    }
};

/*! @brief Results in total, by kind, by second of the first request and by
 * entry. */
struct result
{
    recognition retry_recognition;
    tally all;
    std::map<std::string, tally> kinds;
    std::map<std::size_t, tally> seconds;
    std::map<std::size_t, tally> entries;

    /*! @brief Returns the sum over the seconds from `from` to before `to`. */
    [[nodiscard]] tally between(std::size_t from, std::size_t to) const
    {
        tally sum;
        for (const auto& [second, one] : seconds)
        {
            if (second < from || second >= to)
                continue;
            sum.requests += one.requests;
            sum.in_time += one.in_time;
            sum.late += one.late;
            sum.refused += one.refused;
        }
        return sum;
    }
};

} // namespace load_replay

#endif

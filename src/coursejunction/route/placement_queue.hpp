/*! @file
 * @brief Requests that wait at an entry for a place; pure.
 *
 * Load pattern: a place comes free while several requests wait. Who can still
 * be in time goes first, the one with the least time left before others; who
 * is late already takes what they leave.
 */
#ifndef COURSEJUNCTION_ROUTE_PLACEMENT_QUEUE_HPP
#define COURSEJUNCTION_ROUTE_PLACEMENT_QUEUE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief One waiting request. */
struct waiting_request
{
    bool late{false};         /*!< Its target is lost. */
    time_point target_time{}; /*!< When it should have its first event. */
    std::uint64_t number{0};

    friend auto operator<=>(const waiting_request&,
                            const waiting_request&) = default;
};

/*! @brief Waiting requests in the order in which they are looked at. */
class placement_queue
{
public:
    void push(const waiting_request& one) { line.insert(one); }

    void erase(const waiting_request& one) { line.erase(one); }

    [[nodiscard]] std::size_t size() const { return line.size(); }

    /*! @brief Returns the numbers of all, first come those that are to be
     * looked at first. */
    [[nodiscard]] std::vector<std::uint64_t> request_numbers() const
    {
        std::vector<std::uint64_t> all;
        all.reserve(line.size());
        for (const auto& one : line)
            all.push_back(one.number);
        return all;
    }

private:
    std::set<waiting_request> line;
};

} // namespace coursejunction

#endif

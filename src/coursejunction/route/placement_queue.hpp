/*! @file
 * @brief Queue of the requests that wait at an entry for a slot; pure. Load
 * pattern: a slot becomes free while several requests wait. More urgent ranks
 * go first. Within a rank, requests that can still meet their target go first,
 * the earliest target before others; the others take what is left, those whose
 * clients return when they were told to before the rest.
 */
#ifndef COURSEJUNCTION_ROUTE_PLACEMENT_QUEUE_HPP
#define COURSEJUNCTION_ROUTE_PLACEMENT_QUEUE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/priority.hpp"

namespace coursejunction
{

/*! @brief A waiting request. */
struct waiting_request
{
    request_rank rank;
    bool late{false}; /*!< It can no longer meet its target. */
    /*! @brief It is late, and its client was not told to return now. */
    bool unexpected{false};
    time_point target_time{}; /*!< When its first event is due. */
    std::uint64_t number{0};

    friend auto operator<=>(const waiting_request&,
                            const waiting_request&) = default;
};

/*! @brief Waiting requests in the order in which they are tried. */
class placement_queue
{
public:
    void push(const waiting_request& request) { requests.insert(request); }

    void erase(const waiting_request& request) { requests.erase(request); }

    [[nodiscard]] std::size_t size() const { return requests.size(); }

    /*! @brief Returns the numbers of all requests, in the order in which to try
     * them. */
    [[nodiscard]] std::vector<std::uint64_t> request_numbers() const
    {
        std::vector<std::uint64_t> all;
        all.reserve(requests.size());
        for (const auto& request : requests)
            all.push_back(request.number);
        return all;
    }

private:
    std::set<waiting_request> requests;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief The requests of an entry that are not answered yet.
 */
#ifndef COURSEJUNCTION_PROXY_OPEN_EXCHANGES_HPP
#define COURSEJUNCTION_PROXY_OPEN_EXCHANGES_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/proxy/exchange.hpp"

namespace coursejunction
{

/*! @brief Requests by number; what is done with one may end others. */
class open_exchanges
{
public:
    void add(std::shared_ptr<exchange> one)
    {
        const auto number = one->number;
        all.emplace(number, std::move(one));
    }

    void erase(std::uint64_t number) { all.erase(number); }

    [[nodiscard]] std::size_t size() const { return all.size(); }

    /*! @brief Returns the numbers of the requests that fit. */
    template <typename Predicate>
    [[nodiscard]] std::vector<std::uint64_t> numbers_of(Predicate fits) const
    {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, one] : all)
        {
            if (fits(*one))
                numbers.push_back(number);
        }
        return numbers;
    }

    /*! @brief Calls with a request, if it is still open. */
    template <typename Call>
    void with(std::uint64_t number, Call call)
    {
        const auto found = all.find(number);
        if (found == all.end())
            return;
        const auto held = found->second;
        call(*held);
    }

    /*! @brief Returns how many other copies of a request are with upstreams. */
    [[nodiscard]] std::size_t copies_running(const exchange& one) const
    {
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(),
                          [&](const auto& other)
                          {
                              return runs_beside(one, *other.second) &&
                                     other.second->content == one.content;
                          }));
    }

    /*! @brief Returns the upstreams of the other requests that fit. */
    template <typename Predicate>
    [[nodiscard]] std::vector<instance_id>
    upstreams_beside(const exchange& one, Predicate fits) const
    {
        std::vector<instance_id> found;
        for (const auto& [number, other] : all)
        {
            if (runs_beside(one, *other) && fits(*other))
                found.push_back(other->at.upstream);
        }
        return found;
    }

private:
    [[nodiscard]] static bool runs_beside(const exchange& one,
                                          const exchange& other)
    {
        return other.in_flight && other.number != one.number;
    }

    std::map<std::uint64_t, std::shared_ptr<exchange>> all;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief The requests of an entry that have no final response yet. */
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
#include "coursejunction/proxy/exchange_facts.hpp"

namespace coursejunction
{

/*! @brief Open requests by number. A callback on one request may erase others,
 * so requests are looked up again by number. */
class open_exchanges
{
public:
    void add(std::shared_ptr<exchange> request)
    {
        const auto number = request->number;
        requests.emplace(number, std::move(request));
    }

    void erase(std::uint64_t number) { requests.erase(number); }

    [[nodiscard]] std::size_t size() const { return requests.size(); }

    /*! @brief Returns the numbers of the requests that satisfy a predicate. */
    template <typename Predicate>
    [[nodiscard]] std::vector<std::uint64_t>
    numbers_of(Predicate predicate) const
    {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, request] : requests)
        {
            if (predicate(*request))
                numbers.push_back(number);
        }
        return numbers;
    }

    /*! @brief Calls back with a request if it is still open. */
    template <typename Callback>
    void with(std::uint64_t number, Callback callback)
    {
        const auto found = requests.find(number);
        if (found == requests.end())
            return;
        const auto request = found->second;
        callback(*request);
    }

    /*! @brief Returns how many bytes of incomplete responses are kept. */
    [[nodiscard]] std::size_t kept_bytes() const
    {
        std::size_t bytes = 0;
        for (const auto& [number, request] : requests)
        {
            bytes += request->attempt.kept_bytes();
            if (request->silent_attempt)
                bytes += request->silent_attempt->kept_bytes();
        }
        return bytes;
    }

    /*! @brief Returns how many other requests with the same content are at
     * upstreams. */
    [[nodiscard]] std::size_t running_copies(const exchange& request) const
    {
        std::size_t copies = 0;
        for (const auto& [number, other] : requests)
        {
            if (is_other_running(request, *other) &&
                other->content == request.content)
                copies += other->silent_attempt ? 2 : 1;
        }
        return copies;
    }

    /*! @brief Returns whether another request with a part of a prompt is at an
     * upstream. */
    [[nodiscard]] bool runs_part(const exchange& request,
                                 const request_content& part) const
    {
        return std::any_of(requests.begin(), requests.end(),
                           [&](const auto& one)
                           {
                               return is_other_running(request, *one.second) &&
                                      exchange_facts::has_part(*one.second,
                                                               part);
                           });
    }

    /*! @brief Returns the upstreams that run other requests that satisfy a
     * predicate. */
    template <typename Predicate>
    [[nodiscard]] std::vector<instance_id>
    upstreams_of_others(const exchange& request, Predicate predicate) const
    {
        std::vector<instance_id> found;
        for (const auto& [number, other] : requests)
        {
            if (is_other_running(request, *other) && predicate(*other))
            {
                found.push_back(other->attempt.choice.upstream);
                if (other->silent_attempt)
                    found.push_back(other->silent_attempt->choice.upstream);
            }
        }
        return found;
    }

private:
    [[nodiscard]] static bool is_other_running(const exchange& request,
                                               const exchange& other)
    {
        return other.attempt.in_flight && other.number != request.number;
    }

    std::map<std::uint64_t, std::shared_ptr<exchange>> requests;
};

} // namespace coursejunction

#endif

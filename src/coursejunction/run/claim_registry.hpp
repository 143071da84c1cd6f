/*! @file
 * @brief Claims of requests that may run once, as one entry remembers them;
 * pure.
 */
#ifndef COURSEJUNCTION_RUN_CLAIM_REGISTRY_HPP
#define COURSEJUNCTION_RUN_CLAIM_REGISTRY_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Who claimed a request first, by the digest of its id. The claim in
 * the key-value service stands beside it. */
class claim_registry
{
public:
    using size_type = std::size_t;

    /*! @brief Claims are remembered as long as the key-value service keeps
     * them. */
    static constexpr std::chrono::hours retention{24};

    /*! @param most Claims that are remembered; the oldest go first. */
    explicit claim_registry(size_type most) : limit(most) {}

    /*! @brief Notes a claim.
     * @return Whether the claimant is the first; it may ask again. */
    [[nodiscard]] bool try_claim(const digest& request,
                                 const std::string& claimant, time_point now)
    {
        forget(now);
        const auto [found, added] = claimants.emplace(request, claimant);
        if (!added)
            return found->second == claimant;
        order.emplace_back(now, request);
        if (order.size() > limit)
            drop_oldest();
        return true;
    }

    /*! @brief Tells whether anybody has claimed a request. */
    [[nodiscard]] bool contains(const digest& request, time_point now)
    {
        forget(now);
        return claimants.contains(request);
    }

    [[nodiscard]] size_type size() const { return claimants.size(); }

private:
    void forget(time_point now)
    {
        while (!order.empty() && now - order.front().first >= retention)
            drop_oldest();
    }

    void drop_oldest()
    {
        claimants.erase(order.front().second);
        order.pop_front();
    }

    size_type limit;
    std::unordered_map<digest, std::string> claimants;
    std::deque<std::pair<time_point, digest>> order;
};

} // namespace coursejunction

#endif

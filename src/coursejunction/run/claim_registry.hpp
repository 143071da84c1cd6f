/*! @file
 * @brief Claims on requests that may run only once, as one entry remembers
 * them; pure.
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

/*! @brief Remembers who claimed a request first, by the digest of the request
 * id. It is a second record in addition to the claim in the key-value service,
 * which may lose claims. */
class claim_registry
{
public:
    using size_type = std::size_t;

    /*! @brief Claims are remembered as long as the key-value service keeps
     * them. */
    static constexpr std::chrono::hours retention{24};

    /*! @param max_claims Claims remembered; the oldest are dropped first. */
    explicit claim_registry(size_type max_claims) : capacity(max_claims) {}

    /*! @brief Claims a request.
     * @return Whether the claimant is the first; true again when it repeats
     * its claim. */
    [[nodiscard]] bool try_claim(const digest& request,
                                 const std::string& claimant, time_point now)
    {
        drop_expired(now);
        const auto [found, added] = claimants.emplace(request, claimant);
        if (!added)
            return found->second == claimant;
        oldest_first.emplace_back(now, request);
        if (oldest_first.size() > capacity)
            drop_oldest();
        return true;
    }

    /*! @brief Returns whether a request is claimed. */
    [[nodiscard]] bool contains(const digest& request, time_point now)
    {
        drop_expired(now);
        return claimants.contains(request);
    }

    [[nodiscard]] size_type size() const { return claimants.size(); }

private:
    void drop_expired(time_point now)
    {
        while (!oldest_first.empty() &&
               now - oldest_first.front().first >= retention)
            drop_oldest();
    }

    void drop_oldest()
    {
        claimants.erase(oldest_first.front().second);
        oldest_first.pop_front();
    }

    size_type capacity;
    std::unordered_map<digest, std::string> claimants;
    std::deque<std::pair<time_point, digest>> oldest_first;
};

} // namespace coursejunction

#endif

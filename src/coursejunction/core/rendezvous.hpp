/*! @file
 * @brief Rendezvous hashing (Thaler and Ravishankar, 1998): every process
 * ranks the same candidates for a key in the same order.
 */
#ifndef COURSEJUNCTION_CORE_RENDEZVOUS_HPP
#define COURSEJUNCTION_CORE_RENDEZVOUS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/core/digest.hpp"

namespace coursejunction
{

/*! @brief Returns the weight of a candidate for a key. */
[[nodiscard]] inline std::uint64_t rendezvous_weight(std::string_view key,
                                                     std::string_view candidate)
{
    std::string joined;
    joined.reserve(key.size() + candidate.size() + 1);
    joined.append(key).push_back('\0');
    joined.append(candidate);
    return stable_hash(joined);
}

/*! @brief Ranks candidates for a key by descending weight; equal weights are
 * ordered by id.
 * @tparam Id A `strong` type that wraps a string.
 * @param key Key to assign to candidates.
 * @param candidates Ids in any order.
 * @param count Maximum number of ids to return.
 * @return The first `count` ids of the ranking, or all if there are fewer. */
template <typename Id>
[[nodiscard]] std::vector<Id> rendezvous_rank(std::string_view key,
                                              const std::vector<Id>& candidates,
                                              std::size_t count)
{
    std::vector<std::pair<std::uint64_t, const Id*>> weighted;
    weighted.reserve(candidates.size());
    for (const auto& one : candidates)
        weighted.emplace_back(rendezvous_weight(key, one.value()), &one);
    const auto kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(),
                      weighted.begin() + static_cast<std::ptrdiff_t>(kept),
                      weighted.end(),
                      [](const auto& left, const auto& right)
                      {
                          if (left.first != right.first)
                              return left.first > right.first;
                          return *left.second < *right.second;
                      });
    std::vector<Id> ranked;
    ranked.reserve(kept);
    for (std::size_t at = 0; at < kept; ++at)
        ranked.push_back(*weighted[at].second);
    return ranked;
}

} // namespace coursejunction

#endif

#include "coursejunction/route/recent_refusals.hpp"

#include <algorithm>
#include <chrono>

namespace coursejunction
{

namespace
{

/*! @brief Returns whether a retry of a refused client may arrive now. */
bool retry_possible(const refusal_record& one, time_point now)
{
    if (now - one.refused_at <= recent_refusals::immediate_retry_window)
        return true;
    return now >= one.retry_at - recent_refusals::early_retry_tolerance &&
           now <= one.retry_at + recent_refusals::retry_expiry;
}

/*! @brief Returns how far a request is from the expected retry of a refused
 * one; nothing if it can't be that. */
std::optional<std::chrono::microseconds>
distance(const refusal_record& one, const std::optional<time_point>& deadline,
         time_point now)
{
    if (one.deadline.has_value() != deadline.has_value() ||
        !retry_possible(one, now))
        return std::nullopt;
    if (!deadline)
        return std::chrono::abs(now - one.retry_at);
    const std::chrono::microseconds difference =
        std::chrono::abs(*deadline - *one.deadline);
    if (difference > recent_refusals::deadline_tolerance)
        return std::nullopt;
    return difference;
}

} // namespace

void recent_refusals::record(const refusal_record& one)
{
    if (one.fingerprint.empty())
        return;
    record_remote(one);
    if (unsent.size() < max_unsent)
        unsent.push_back(one);
}

void recent_refusals::record_remote(const refusal_record& one)
{
    if (!one.fingerprint.empty() && refusals.size() < max_remembered)
        refusals.emplace(one.fingerprint, one);
}

std::optional<time_point>
recent_refusals::match_retry(request_fingerprint fingerprint,
                             std::optional<time_point> deadline, time_point now)
{
    if (fingerprint.empty())
        return std::nullopt;
    auto nearest = refusals.end();
    std::chrono::microseconds least_difference{0};
    const auto [from, to] = refusals.equal_range(fingerprint);
    for (auto at = from; at != to; ++at)
    {
        const auto difference = distance(at->second, deadline, now);
        if (!difference ||
            (nearest != refusals.end() && *difference >= least_difference))
            continue;
        nearest = at;
        least_difference = *difference;
    }
    if (nearest == refusals.end())
        return std::nullopt;
    const auto first = nearest->second.first_arrival;
    refusals.erase(nearest);
    return first;
}

std::vector<refusal_record> recent_refusals::take_unsent(std::size_t count)
{
    const auto to = unsent.begin() +
                    static_cast<std::ptrdiff_t>(std::min(count, unsent.size()));
    std::vector<refusal_record> taken(unsent.begin(), to);
    unsent.erase(unsent.begin(), to);
    return taken;
}

void recent_refusals::expire(time_point now)
{
    std::erase_if(refusals, [now](const auto& one)
                  { return now > one.second.retry_at + retry_expiry; });
}

} // namespace coursejunction

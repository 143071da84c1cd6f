#include "coursejunction/route/recent_refusals.hpp"

#include <algorithm>
#include <chrono>

namespace coursejunction
{

namespace
{

/*! @brief Returns whether a retry of a refused client may arrive now. */
bool retry_possible(const refusal_record& refusal, time_point now)
{
    if (now - refusal.refused_at <= recent_refusals::immediate_retry_window)
        return true;
    return now >= refusal.retry_at - recent_refusals::early_retry_tolerance &&
           now <= refusal.retry_at + recent_refusals::retry_expiry;
}

/*! @brief Returns how far a request is from the expected retry of a refused
 * one; nothing if it can't be that. */
std::optional<std::chrono::microseconds>
distance(const refusal_record& refusal,
         const std::optional<time_point>& deadline, time_point now)
{
    if (refusal.deadline.has_value() != deadline.has_value() ||
        !retry_possible(refusal, now))
        return std::nullopt;
    if (!deadline)
        return std::chrono::abs(now - refusal.retry_at);
    const std::chrono::microseconds difference =
        std::chrono::abs(*deadline - *refusal.deadline);
    if (difference > recent_refusals::deadline_tolerance)
        return std::nullopt;
    return difference;
}

} // namespace

void recent_refusals::record(const refusal_record& refusal)
{
    if (refusal.fingerprint.empty())
        return;
    record_remote(refusal);
    if (unsent.size() < max_unsent)
        unsent.push_back(refusal);
}

void recent_refusals::record_remote(const refusal_record& refusal)
{
    if (!refusal.fingerprint.empty() && refusals.size() < max_remembered)
        refusals.emplace(refusal.fingerprint, refusal);
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
    for (auto candidate = from; candidate != to; ++candidate)
    {
        const auto difference = distance(candidate->second, deadline, now);
        if (!difference ||
            (nearest != refusals.end() && *difference >= least_difference))
            continue;
        nearest = candidate;
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
    std::erase_if(refusals, [now](const auto& item)
                  { return now > item.second.retry_at + retry_expiry; });
}

} // namespace coursejunction

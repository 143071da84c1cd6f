#include "coursejunction/route/recent_refusals.hpp"

#include <algorithm>
#include <chrono>

namespace coursejunction
{

namespace
{

/*! @brief Tells whether a refused caller may come back now. */
bool expected(const refusal_record& one, time_point now)
{
    if (now - one.refused_at <= recent_refusals::immediate_retry_window)
        return true;
    return now >= one.retry_at - recent_refusals::early_retry_tolerance &&
           now <= one.retry_at + recent_refusals::retry_expiry;
}

/*! @brief Returns how far a request is from being a refused one's next try;
 * nothing when it is none. */
std::optional<std::chrono::microseconds>
distance(const refusal_record& one, const std::optional<time_point>& deadline,
         time_point now)
{
    if (one.deadline.has_value() != deadline.has_value() || !expected(one, now))
        return std::nullopt;
    if (!deadline)
        return std::chrono::abs(now - one.retry_at);
    const std::chrono::microseconds apart =
        std::chrono::abs(*deadline - *one.deadline);
    if (apart > recent_refusals::deadline_tolerance)
        return std::nullopt;
    return apart;
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
    if (!one.fingerprint.empty() && known.size() < max_remembered)
        known.emplace(one.fingerprint, one);
}

std::optional<time_point>
recent_refusals::match_retry(request_fingerprint fingerprint,
                             std::optional<time_point> deadline, time_point now)
{
    if (fingerprint.empty())
        return std::nullopt;
    auto nearest = known.end();
    std::chrono::microseconds least{0};
    const auto [from, to] = known.equal_range(fingerprint);
    for (auto at = from; at != to; ++at)
    {
        const auto apart = distance(at->second, deadline, now);
        if (!apart || (nearest != known.end() && *apart >= least))
            continue;
        nearest = at;
        least = *apart;
    }
    if (nearest == known.end())
        return std::nullopt;
    const auto first = nearest->second.first_arrival;
    known.erase(nearest);
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
    std::erase_if(known, [now](const auto& one)
                  { return now > one.second.retry_at + retry_expiry; });
}

} // namespace coursejunction

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
    if (now - one.refused <= recent_refusals::at_once)
        return true;
    return now >= one.due - recent_refusals::too_soon &&
           now <= one.due + recent_refusals::patience;
}

/*! @brief Returns how far a request is from being a refused one's next try;
 * nothing when it is none. */
std::optional<std::chrono::microseconds>
distance(const refusal_record& one, const std::optional<time_point>& ends,
         time_point now)
{
    if (one.ends.has_value() != ends.has_value() || !expected(one, now))
        return std::nullopt;
    if (!ends)
        return std::chrono::abs(now - one.due);
    const std::chrono::microseconds apart = std::chrono::abs(*ends - *one.ends);
    if (apart > recent_refusals::same_deadline)
        return std::nullopt;
    return apart;
}

} // namespace

void recent_refusals::refused(const refusal_record& one)
{
    if (one.what.empty())
        return;
    told(one);
    if (news.size() < most_news)
        news.push_back(one);
}

void recent_refusals::told(const refusal_record& one)
{
    if (!one.what.empty() && known.size() < most)
        known.emplace(one.what, one);
}

std::optional<time_point>
recent_refusals::recognise(request_fingerprint what,
                           std::optional<time_point> ends, time_point now)
{
    if (what.empty())
        return std::nullopt;
    auto nearest = known.end();
    std::chrono::microseconds least{0};
    const auto [from, to] = known.equal_range(what);
    for (auto at = from; at != to; ++at)
    {
        const auto apart = distance(at->second, ends, now);
        if (!apart || (nearest != known.end() && *apart >= least))
            continue;
        nearest = at;
        least = *apart;
    }
    if (nearest == known.end())
        return std::nullopt;
    const auto first = nearest->second.first;
    known.erase(nearest);
    return first;
}

std::vector<refusal_record> recent_refusals::take_news(std::size_t count)
{
    const auto to = news.begin() +
                    static_cast<std::ptrdiff_t>(std::min(count, news.size()));
    std::vector<refusal_record> taken(news.begin(), to);
    news.erase(news.begin(), to);
    return taken;
}

void recent_refusals::expire(time_point now)
{
    std::erase_if(known, [now](const auto& one)
                  { return now > one.second.due + patience; });
}

} // namespace coursejunction

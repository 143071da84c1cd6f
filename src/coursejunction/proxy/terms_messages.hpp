/*! @file
 * @brief Turns terms of upstreams into what entries tell each other; pure.
 * Steady clocks differ between processes, so times go as spans.
 */
#ifndef COURSEJUNCTION_PROXY_TERMS_MESSAGES_HPP
#define COURSEJUNCTION_PROXY_TERMS_MESSAGES_HPP

#include <algorithm>
#include <cstddef>
#include <vector>

#include "coursejunction/proxy/refusal_messages.hpp"
#include "coursejunction/route/upstream_registry.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Upstreams whose terms one heartbeat tells, so that it fits a packet:
 * the newest ones. */
inline constexpr std::size_t max_terms_per_heartbeat = 16;

/*! @brief Returns what to tell the other entries of terms that answers told
 * this one lately. */
[[nodiscard]] inline std::vector<message::upstream_terms>
recent_terms(const upstream_registry& book, time_point now)
{
    std::vector<message::upstream_terms> told;
    for (const auto& [id, one] : book.all())
    {
        const auto news = one.terms.pending_report(now);
        if (!news)
            continue;
        message::upstream_terms made;
        made.upstream = id.value();
        made.life = one.life.value();
        made.age_ms = wire_ms(now - news->received_at);
        made.leaving = news->leaving;
        if (news->per_second)
            made.per_second = static_cast<float>(*news->per_second);
        told.push_back(std::move(made));
    }
    const auto kept = std::min(told.size(), max_terms_per_heartbeat);
    std::partial_sort(told.begin(),
                      told.begin() + static_cast<std::ptrdiff_t>(kept),
                      told.end(),
                      [](const auto& left, const auto& right)
                      { return left.age_ms < right.age_ms; });
    told.resize(kept);
    return told;
}

/*! @brief Reads what another entry told. */
[[nodiscard]] inline reported_terms
decode_terms(const message::upstream_terms& told, time_point now)
{
    reported_terms made;
    made.leaving = told.leaving;
    if (told.per_second >= 0)
        made.per_second = static_cast<double>(told.per_second);
    made.received_at = now - milliseconds(told.age_ms);
    return made;
}

} // namespace coursejunction

#endif

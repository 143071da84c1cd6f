/*! @file
 * @brief Converts upstreams' terms to and from the messages that entries
 * exchange. Steady clocks differ between processes, so messages carry durations
 * instead of times. */
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

/*! @brief Maximum number of upstreams whose terms one heartbeat carries, so
 * that it fits into a packet. The most recent ones are sent. */
inline constexpr std::size_t max_terms_per_heartbeat = 16;

/*! @brief Returns messages for the terms that responses recently reported to
 * this entry. */
[[nodiscard]] inline std::vector<message::upstream_terms>
recent_terms(const upstream_registry& book, time_point now)
{
    std::vector<message::upstream_terms> messages;
    for (const auto& [id, upstream] : book.all())
    {
        const auto reported = upstream.terms.pending_report(now);
        if (!reported)
            continue;
        message::upstream_terms terms;
        terms.upstream = id.value();
        terms.life = upstream.life.value();
        terms.age_ms = wire_ms(now - reported->received_at);
        terms.leaving = reported->leaving;
        if (reported->per_second)
            terms.per_second = static_cast<float>(*reported->per_second);
        messages.push_back(std::move(terms));
    }
    const auto kept = std::min(messages.size(), max_terms_per_heartbeat);
    std::partial_sort(messages.begin(),
                      messages.begin() + static_cast<std::ptrdiff_t>(kept),
                      messages.end(),
                      [](const auto& left, const auto& right)
                      { return left.age_ms < right.age_ms; });
    messages.resize(kept);
    return messages;
}

/*! @brief Returns the terms that another entry reported. */
[[nodiscard]] inline reported_terms
decode_terms(const message::upstream_terms& received, time_point now)
{
    reported_terms terms;
    terms.leaving = received.leaving;
    if (received.per_second >= 0) // A negative rate means no limit.
        terms.per_second = static_cast<double>(received.per_second);
    terms.received_at = now - milliseconds(received.age_ms);
    return terms;
}

} // namespace coursejunction

#endif

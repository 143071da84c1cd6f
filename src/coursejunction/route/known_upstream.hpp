/*! @file
 * @brief What an entry knows of one upstream.
 */
#ifndef COURSEJUNCTION_ROUTE_KNOWN_UPSTREAM_HPP
#define COURSEJUNCTION_ROUTE_KNOWN_UPSTREAM_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/upstream_terms.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief One attempt of this entry that is in progress. */
struct open_attempt
{
    time_point sent_at{};
    double prompt_tokens{0};
    bool first_event_seen{false}; /*!< Its first event came. */
};

/*! @brief What an attempt says of its upstream. */
enum class attempt_result : std::uint8_t
{
    succeeded,
    answered_failure, /*!< A whole answer that tells of its own failure. */
    failed            /*!< No whole answer. */
};

/*! @brief One upstream and what was seen of it. */
struct known_upstream
{
    upstream_record record;
    incarnation life; /*!< The latest that its record or its side told. */
    std::optional<message::upstream_status> status;
    time_point status_at{};
    std::map<std::uint64_t, open_attempt> attempts;
    std::size_t ended_since_status{0};
    unsigned failures{0};  /*!< In a row. */
    double fault_share{0}; /*!< Smoothed share of attempts that failed. */
    double lateness{1};    /*!< Smoothed seen over predicted time. */
    time_point avoid_until{};
    std::optional<time_point> lapses_at; /*!< Its record went in an outage. */
    double share{0}; /*!< Part of it that is this entry's; `engine_shares`. */
    upstream_terms terms;

    /*! @brief Tells whether it gets no new work any more, by its record or by
     * its answers: either may be the first to say so. */
    [[nodiscard]] bool leaving() const
    {
        return record.leaving || terms.leaving();
    }
};

/*! @brief A life of an upstream that ended, since another one has begun. */
struct ended_incarnation
{
    std::string address;
    std::vector<std::uint64_t> attempts; /*!< It will not answer any more. */
    instance_id upstream;
    incarnation life; /*!< The one that ended. */
};

} // namespace coursejunction

#endif

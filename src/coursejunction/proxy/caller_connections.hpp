/*! @file
 * @brief Counts and logs how callers' connections end, and bounds what they
 * leave unread. */
#ifndef COURSEJUNCTION_PROXY_CALLER_CONNECTIONS_HPP
#define COURSEJUNCTION_PROXY_CALLER_CONNECTIONS_HPP

#include <cstddef>
#include <string>
#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_server.hpp"

namespace coursejunction::caller_connections
{

/*! @brief Bound on the bytes that all callers together leave unread; beyond it
 * the slowest readers are cut. The smallest entries have 160 MB for
 * everything. */
inline constexpr std::size_t max_unsent_bytes = std::size_t{48} << 20U;

/*! @brief Counts a closed connection. One with unread input is logged too: its
 * caller may wait for an answer that never comes, and nothing else shows it. So
 * is one whose caller did not read. */
inline void record_close(metrics& counters, const closed_connection& closed)
{
    const std::string reason(close_reason_name(closed.reason));
    const bool unread = closed.unread_bytes > 0;
    counters.count("caller_connections_closed_total", 1,
                   {{"reason", reason}, {"unread", unread ? "yes" : "no"}});
    if (closed.request_dropped)
        counters.count("requests_of_disconnected_callers_total");
    if (unread)
        log::problem("connection_closed_unread",
                     {{"peer", closed.peer},
                      {"reason", reason},
                      {"bytes", std::to_string(closed.unread_bytes)}});
    if (closed.reason == close_reason::unsent)
        log::problem("slow_reader_cut",
                     {{"peer", closed.peer},
                      {"bytes", std::to_string(closed.unsent_bytes)}});
}

/*! @brief A request that could not be read for this long is refused. Callers
 * give up an entry that has not read theirs after a second or a third of their
 * time; a refusal that arrives before leaves them time for another entry. */
inline constexpr milliseconds max_unread_time{400};

/*! @brief Prepares a server for callers: bounds, counts and logs.
 * @param max_request_bytes Bound on the memory that all requests hold.
 * @param refusal_headers Headers of a refusal for overload. */
inline void watch(stream_server& callers, std::size_t max_request_bytes,
                  header_list refusal_headers, metrics& counters)
{
    callers.limit_unsent(max_unsent_bytes);
    callers.limit_requests(max_request_bytes);
    callers.refuse_unread_after(max_unread_time);
    callers.refusal_headers(std::move(refusal_headers));
    callers.on_close([&counters](const closed_connection& closed)
                     { record_close(counters, closed); });
}

/*! @brief Sets the gauges and records how far the loop is behind; to be called
 * periodically. */
inline void set_gauges(const stream_server& callers, const event_loop& loop,
                       metrics& counters)
{
    counters.observe("loop_lag_seconds", to_seconds(loop.input_lag()));
    counters.set("caller_connections", static_cast<double>(callers.size()));
    counters.set("caller_unsent_bytes", static_cast<double>(callers.unsent()));
    counters.set("caller_request_bytes",
                 static_cast<double>(callers.request_bytes()));
}

} // namespace coursejunction::caller_connections

#endif

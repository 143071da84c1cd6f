/*! @file
 * @brief Stops reading an upstream's stream while its caller does not read. */
#ifndef COURSEJUNCTION_PROXY_BACK_PRESSURE_HPP
#define COURSEJUNCTION_PROXY_BACK_PRESSURE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/proxy/exchange.hpp"
#include "coursejunction/proxy/open_exchanges.hpp"

namespace coursejunction
{

/*! @brief Pauses and resumes the calls of streams. One that stays paused for
 * too long is reported, since its upstream would break it off. */
class back_pressure
{
public:
    using callback = std::function<void(exchange&)>;

    /*! @brief A stream is paused when its caller leaves more than this many
     * bytes unread. 500 such callers hold 32 MB, which is less than the bound
     * for all callers. */
    static constexpr std::size_t pause_above = 65'536;

    /*! @brief It is resumed below this many bytes. The difference is one read
     * of the upstream's connection, so that a caller that reads slowly does not
     * stay paused for long at a time. */
    static constexpr std::size_t resume_below = 49'152;

    /*! @brief Longest pause. Upstreams break off a response that stays unread
     * for some seconds. */
    static constexpr milliseconds max_pause{2000};

    /*! @brief Largest part of a response, in bytes, that is kept until the rest
     * of it has arrived: a body that is not a stream, or an incomplete event.
     */
    static constexpr std::size_t max_kept_bytes = std::size_t{4} << 20U;

    /*! @brief Largest sum of such parts of all responses, in bytes. Many
     * upstreams may send without end at once, and the smallest entries have 160
     * MB for everything. */
    static constexpr std::size_t max_kept_in_total = std::size_t{32} << 20U;

    /*! @param on_resumed Called when a stream is read again.
     * @param on_unread Called when a stream was paused for `max_pause`. */
    back_pressure(event_loop& owner, stream_client& upstream_client,
                  metrics& metric_counters, open_exchanges& open,
                  callback on_resumed, callback on_unread)
        : loop(owner), client(upstream_client), counters(metric_counters),
          requests(open), resumed(std::move(on_resumed)),
          unread(std::move(on_unread))
    {
    }

    /*! @brief Pauses a stream whose caller leaves too much unread; to be called
     * after each part that was written. While it is paused its upstream does
     * not count as silent. */
    void pause_if_unread(exchange& request)
    {
        if (request.reply.unsent() <= pause_above)
            return;
        // A further attempt of the request has a call of its own.
        client.pause(request.attempt.call);
        if (std::exchange(request.paused, true))
            return;
        request.silence_timer.stop();
        counters.count("answers_paused_total");
        request.reply.on_drained(resume_below,
                                 [this, number = request.number] {
                                     requests.with(number,
                                                   [this](exchange& found)
                                                   { resume(found); });
                                 });
        request.pause_timer = loop.after(
            max_pause,
            [this, number = request.number]
            {
                requests.with(number,
                              [this](exchange& found)
                              {
                                  counters.count("answers_unread_total");
                                  unread(found);
                              });
            });
    }

    /*! @brief Returns whether a part of a response would exceed what is kept
     * of an attempt's response or of all responses. */
    [[nodiscard]] bool exceeds_kept(const upstream_attempt& attempt,
                                    std::string_view part) const
    {
        // Responses below this size do not have to be added up: a thousand of
        // them stay within the total.
        constexpr std::size_t small = max_kept_in_total / 1024;
        const auto kept = attempt.kept_bytes() + part.size();
        return kept > max_kept_bytes ||
               (kept > small &&
                requests.kept_bytes() + part.size() > max_kept_in_total);
    }

private:
    void resume(exchange& request)
    {
        request.paused = false;
        request.pause_timer.stop();
        // The upstream was not silent, it was not read.
        request.attempt.last_event_at = event_loop::now();
        request.last_progress = request.attempt.last_event_at;
        client.resume(request.attempt.call);
        resumed(request);
    }

    event_loop& loop;
    stream_client& client;
    metrics& counters;
    open_exchanges& requests;
    callback resumed;
    callback unread;
};

} // namespace coursejunction

#endif

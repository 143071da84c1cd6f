/*! @file
 * @brief Timeouts and limits of request handling. */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_OPTIONS_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_OPTIONS_HPP

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/dispatcher.hpp"

namespace coursejunction
{

/*! @brief Timeouts and limits of `exchange_service`, with the reasons for their
 * values. */
struct exchange_options
{
    dispatch_options dispatch;
    /*! @brief Suspects, requests under which an upstream crashed, run one copy
     * at a time. Another copy waits at most this long for its turn and is
     * refused then. Where upstreams crashed, their first events had been
     * predicted after 165 to 273 ms. */
    milliseconds suspect_queue_time{250};
    /*! @brief Maximum time that a request waits for the result of a crash probe
     * after its upstream closed the connection. It goes to another upstream as
     * soon as the result is known. The upstream's address responds within 3 to
     * 6 ms, and reports of other entries take as long. Without this pause each
     * of many copies would crash a second upstream. */
    milliseconds crash_probe_time{25};
    /*! @brief Minimum Retry-After time while a request is quarantined or on
     * trial: the response of a trial takes 0.4 to 0.9 s. */
    milliseconds trial_retry_after{1000};
    /*! @brief Interval at which queued requests are placed again. */
    milliseconds queue_poll_interval{15};
    /*! @brief The upstream of a resumable stream counts as silent when the
     * first event takes longer than this multiple of the predicted time, plus
     * `first_event_slack`. */
    double first_event_factor{3};
    milliseconds first_event_slack{700};
    /*! @brief Interval at which another upstream is looked for while one is
     * silent. */
    milliseconds silence_poll_interval{100};
    /*! @brief A stream without progress gets its final response this long
     * before its caller would disconnect: an instance with a small share of a
     * processor may run only once in 100 ms, both when the request arrives and
     * when the response is due, and both cross a loaded link. */
    milliseconds final_response_time{300};
    /*! @brief A stream ends this long before the deadline that its caller set,
     * so that the end crosses the network before the caller disconnects. Much
     * shorter than `final_response_time`, as the upstream may still send the
     * rest. */
    milliseconds deadline_margin{25};
    /*! @brief A model version is superseded when entries stop sending requests
     * to the upstreams that serve it. An attempt that is still queued at such
     * an upstream is cancelled this long afterwards. The upstream may start
     * requests for 2 s after the version is superseded, and the close of the
     * connection takes a fraction of a second to arrive there. */
    milliseconds old_weights_cancel_delay{1200};
    /*! @brief Attempts open new connections during this time before the chosen
     * model version is superseded. Narrow links delayed requests by up to 2.1
     * s. */
    milliseconds old_weights_reconnect_window{2500};
    /*! @brief Window over which the installations count retries. */
    milliseconds retry_window{10'000};
    /*! @brief Retries allowed for each request in the window. The installations
     * allow 0.2, but entries count requests that arrive, not those that callers
     * sent. */
    double retry_ratio{0.17};
    /*! @brief Retries allowed in the window in addition to `retry_ratio`,
     * shared by all entries. The smallest allowance seen at the installations
     * is 104. */
    double retry_reserve{80};
    /*! @brief For how long an entry that is no longer heard counts among those
     * that share the reserve. Regions lose each other for up to an hour, and
     * their entries go on serving meanwhile. */
    milliseconds entry_count_memory{std::chrono::hours(2)};
};

} // namespace coursejunction

#endif

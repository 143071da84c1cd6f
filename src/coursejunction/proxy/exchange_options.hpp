/*! @file
 * @brief Times and shares by which requests are carried.
 */
#ifndef COURSEJUNCTION_PROXY_EXCHANGE_OPTIONS_HPP
#define COURSEJUNCTION_PROXY_EXCHANGE_OPTIONS_HPP

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/dispatcher.hpp"

namespace coursejunction
{

/*! @brief Times and shares of the service, with where they come from. */
struct exchange_options
{
    dispatch_options dispatch;
    /*! @brief Under a request that is doubted an upstream ended: it runs once
     * at a time here, and another copy waits so long for that run. Where
     * upstreams ended, first events were predicted after 165 to 273 ms. */
    milliseconds suspect_queue_time{250};
    /*! @brief A request whose upstream closed the connection goes to another
     * one after so long, or once it is known that the first one has ended: its
     * address answers within 3 to 6 ms, and other entries' news take as long.
     * Without the pause each of many copies would end a second upstream. */
    milliseconds crash_probe_time{25};
    /*! @brief A caller whose request is on trial comes back after so long: the
     * trial's answer takes 0.4 to 0.9 s. */
    milliseconds trial_retry_after{1000};
    /*! @brief How often waiting requests are looked at. */
    milliseconds queue_poll_interval{15};
    /*! @brief A first event later than this many times its prediction, plus
     * `first_event_slack`, is given up. */
    double first_event_factor{3};
    milliseconds first_event_slack{700};
    /*! @brief After older weights take nothing new, an attempt that still
     * waits there is taken back; the bound leaves 2 s, and the end of the
     * connection takes a part of one to arrive. */
    milliseconds old_weights_cancel_delay{1200};
    /*! @brief This long before weights become too old, attempts go out on new
     * connections; requests were held up on narrow links for up to 2.1 s. */
    milliseconds old_weights_reconnect_window{2500};
    /*! @brief The window over which the installations count retries. */
    milliseconds retry_window{10'000};
    /*! @brief Retries for each request of a window; the installations allow
     * 0.2, and entries count what arrives, not what callers sent. */
    double retry_ratio{0.17};
    /*! @brief Retries of a window beside those, of all entries together; the
     * smallest allowance of the installations seen is 104. */
    double retry_reserve{80};
};

} // namespace coursejunction

#endif

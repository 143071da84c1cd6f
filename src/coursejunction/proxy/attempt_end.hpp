/*! @file
 * @brief Decides what the end of an attempt means. */
#ifndef COURSEJUNCTION_PROXY_ATTEMPT_END_HPP
#define COURSEJUNCTION_PROXY_ATTEMPT_END_HPP

#include <cstddef>
#include <cstdint>

#include "coursejunction/net/stream_client.hpp"

namespace coursejunction
{

/*! @brief What the end of an attempt means. */
enum class end_verdict : std::uint8_t
{
    complete,    /*!< The response is complete. */
    unconfirmed, /*!< It is complete, unless the upstream crashed just then. */
    broken_off,  /*!< The upstream ended it before it was complete. */
    stale,       /*!< It was sent on a connection that the upstream may have
                    closed before it read the request. */
    not_sent,    /*!< The upstream did not receive the request. */
    failed       /*!< A time limit or another failure ended it. */
};

/*! @brief An attempt that ended. The HTTP client knows the framing, and the
 * splitter of events the content. */
struct attempt_end
{
    stream_end end{stream_end::whole};
    bool is_stream{false};    /*!< The response is a stream of events. */
    bool has_event{false};    /*!< The stream has a complete event. */
    bool inside_event{false}; /*!< It ended inside an event. */
    /*! @brief The head alone decides what follows; the body is not used. */
    bool settled_by_head{false};
    /*! @brief The upstream announced that it is leaving: it may exit as planned
     * right after a complete response. */
    bool upstream_leaves{false};
};

/*! @brief Returns what the end of an attempt means. A stream that ends inside
 * an event was broken off, whatever its framing states. */
[[nodiscard]] inline end_verdict judge(const attempt_end& ended)
{
    switch (ended.end)
    {
    case stream_end::not_sent:
        return end_verdict::not_sent;
    case stream_end::closed:
        return end_verdict::broken_off;
    case stream_end::stale:
        return end_verdict::stale;
    case stream_end::broken:
    case stream_end::malformed:
        return end_verdict::failed;
    case stream_end::whole:
    case stream_end::unframed:
        break;
    }
    if (ended.is_stream && ended.inside_event)
        return end_verdict::broken_off;
    if (ended.end == stream_end::whole || ended.settled_by_head)
        return end_verdict::complete;
    if (ended.is_stream && !ended.has_event)
        return end_verdict::broken_off;
    return ended.upstream_leaves ? end_verdict::complete
                                 : end_verdict::unconfirmed;
}

/*! @brief Returns the verdict on an unconfirmed end once the upstream's address
 * was probed. A crashed process refuses connections. */
[[nodiscard]] inline end_verdict confirm(bool address_refuses)
{
    return address_refuses ? end_verdict::broken_off : end_verdict::complete;
}

} // namespace coursejunction

#endif

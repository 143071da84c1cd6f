/*! @file
 * @brief HTTP/1.1 client on Boost.Beast that runs on the event loop's thread
 * and reports how far each failed call got.
 */
#ifndef COURSEJUNCTION_NET_STREAM_CLIENT_HPP
#define COURSEJUNCTION_NET_STREAM_CLIENT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coursejunction/core/shared_text.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"
#include "coursejunction/net/header_list.hpp"

namespace coursejunction
{

/*! @brief One HTTP call. Unless `may_reuse_connection` is set it uses a new
 * connection, so it cannot meet leftover bytes of an earlier call or a
 * half-closed connection. */
struct stream_call
{
    std::string address; /*!< `IP:port`. */
    std::string method{"GET"};
    std::string target;
    header_list headers;
    shared_text body;
    milliseconds connect_time{250};
    milliseconds timeout{0};    /*!< For the whole call; 0 disables it. */
    milliseconds stall_time{0}; /*!< Longest time without received bytes, before
                                   or during the response; 0 disables it. */
    /*! @brief Largest body of the response in bytes; the call ends as
     * `malformed` beyond it. 0: unlimited where the caller takes the body as it
     * arrives, `stream_client::max_gathered_bytes` where it is buffered. */
    std::size_t max_body{0};
    /*! @brief The call may use an idle connection of the pool, which the peer
     * may have closed already: the call then ends as `stale`. */
    bool may_reuse_connection{false};
    /*! @brief If the call opens a connection, idle ones to the address are
     * closed so that no more than these are open; 0: none is closed. */
    std::size_t max_connections{0};
};

/*! @brief How a call ended. */
enum class stream_end : std::uint8_t
{
    whole,    /*!< The complete response was received. */
    unframed, /*!< The peer closed the connection of a response that has neither
                 a length nor chunks: it is complete or was broken off. */
    not_sent, /*!< No byte of the request was written. */
    closed,   /*!< The peer closed the connection before the response was
                 complete. */
    stale,    /*!< A reused connection was closed soon after the call was sent
                 and before any byte of the response. Either it was already
                 closed, or the peer read the call and may have run it. */
    broken,   /*!< A time limit expired, or the connection failed otherwise. */
    malformed /*!< The response was not valid HTTP, or its head or body was
                   larger than allowed. */
};

/*! @brief Returns the name of an end in snake_case. */
[[nodiscard]] std::string_view stream_end_name(stream_end end);

/*! @brief What marks the end of a response's body (RFC 9112 section 6.3). */
enum class body_framing : std::uint8_t
{
    none,      /*!< The response has no body. */
    length,    /*!< Content-Length. */
    chunks,    /*!< The last chunk. */
    connection /*!< The end of the connection. */
};

/*! @brief Returns the name of a framing in snake_case. */
[[nodiscard]] std::string_view body_framing_name(body_framing framing);

/*! @brief Status and headers of a response. */
struct stream_head
{
    int status{0};
    header_list headers;
    body_framing framing{body_framing::none};
};

/*! @brief Runs concurrent calls. All members and callbacks run on the loop's
 * thread. */
class stream_client
{
public:
    using call_id = std::uint64_t;

    /*! @brief Callbacks of a call. `ended` is called exactly once and last,
     * unless the call was cancelled. */
    struct callbacks
    {
        std::function<void(const stream_head&)> head;
        std::function<void(std::string_view)> data;
        std::function<void(stream_end, const std::string& why)> ended;
        /*! @brief Called when a new connection is up, before the call is
         * written to it; may cancel the call, or change its headers. Time has
         * passed since `start`, also while the loop was busy. Not called for a
         * kept connection, to which a call is written within `start`. May be
         * empty.
         */
        std::function<void(stream_call&)> connected;
    };

    explicit stream_client(event_loop& loop);
    ~stream_client();

    /*! @brief Starts a call. It is sent once: whether to send it again is up to
     * the caller, which knows what a second run costs. */
    call_id start(stream_call call, callbacks to);

    /*! @brief Closes a call's connection; none of its callbacks is called
     * afterwards. */
    void cancel(call_id which);

    /*! @brief Stops reading a call's response, so that its peer stops sending.
     * The end of the response is not noticed while the call is paused. */
    void pause(call_id which);

    /*! @brief Reads a paused call's response again. */
    void resume(call_id which);

    /*! @brief Closes the idle connections to an address whose process no longer
     * exists. */
    void close_idle(const std::string& address);

    /*! @brief Opens a connection and closes it again.
     * @param done Receives whether the connection was refused, which means that
     * no process listens there. A timeout does not count as refused. */
    void probe(const std::string& address,
               std::function<void(bool refused)> done);

    /*! @brief Buffered response of a call. */
    struct answer
    {
        stream_end end{stream_end::not_sent};
        int status{0};
        header_list headers;
        std::string body;
        std::string why;

        /*! @brief Returns whether a complete response with this status was
         * received. */
        [[nodiscard]] bool is(int expected) const
        {
            return end == stream_end::whole && status == expected;
        }

        /*! @brief Returns whether a response was received to the end of its
         * framing or of its connection. For bodies that show themselves whether
         * they are complete (by a hash, or as a document) or are not used. */
        [[nodiscard]] bool ended() const
        {
            return end == stream_end::whole || end == stream_end::unframed;
        }
    };

    /*! @brief Largest buffered body in bytes, unless a call sets its own limit:
     * the largest chunk that a manifest allows. A peer in trouble may send
     * without end. */
    static constexpr std::size_t max_gathered_bytes = std::size_t{32} << 20U;

    /*! @brief Starts a call and buffers its response; `done` receives it at the
     * end. A call that ends as `stale` is sent once more on a new connection,
     * so only calls that may run twice may reuse a connection here. */
    call_id gather(stream_call call, std::function<void(answer)> done);

    /*! @brief Returns how many calls are open. */
    [[nodiscard]] std::size_t size() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace coursejunction

#endif

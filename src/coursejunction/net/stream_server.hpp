/*! @file
 * @brief HTTP/1.1 server on Boost.Beast that runs on the event loop's thread,
 * preserves requests exactly as received, and streams responses.
 */
#ifndef COURSEJUNCTION_NET_STREAM_SERVER_HPP
#define COURSEJUNCTION_NET_STREAM_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/shared_text.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"
#include "coursejunction/net/header_list.hpp"
#include "coursejunction/net/stream_limits.hpp"

namespace coursejunction
{

/*! @brief One request; target, header order and body are as the client sent
 * them. */
struct stream_request
{
    std::string method;
    std::string target;
    header_list headers;
    shared_text body;
    std::string from; /*!< `IP:port` of the client. */
    /*! @brief Its first bytes arrived after this time, maybe long before they
     * were read. */
    time_point arrived_at{};
};

/*! @brief Response to one request. All members do nothing once the client has
 * disconnected or the response has ended. */
class stream_reply
{
public:
    class target;

    stream_reply() = default;
    stream_reply(std::weak_ptr<target> connection, std::uint64_t number);

    /*! @brief Sends a complete response. */
    void send(int status, const header_list& headers, std::string_view body);

    /*! @brief Sends the head of a response of unknown length. */
    void begin(int status, const header_list& headers);

    /*! @brief Sends a part of the body. */
    void write(std::string_view bytes);

    /*! @brief Ends the response as complete. */
    void finish();

    /*! @brief Aborts the response: closes the connection before the last chunk,
     * so that the client sees that it is incomplete. */
    void cut();

    /*! @brief Sets a callback for a client that disconnects before the response
     * has ended. */
    void on_disconnect(std::function<void()> call);

    /*! @brief Aborts the response of a client that does not read: resets the
     * connection and discards what is queued. */
    void drop();

    /*! @brief Sets a callback that is called once, when fewer than `below`
     * bytes are queued. */
    void on_drained(std::size_t below, std::function<void()> call);

    /*! @brief Looks for a disconnect of the client that the loop has not come
     * to yet. If there is one, the connection is closed and the callback of
     * `on_disconnect` has been called when this returns.
     * @return Whether the client is still connected and waits for this
     * response.
     */
    [[nodiscard]] bool check_connected();

    /*! @brief Returns how many bytes are queued for the client. */
    [[nodiscard]] std::size_t unsent() const;

private:
    std::weak_ptr<target> connection;
    std::uint64_t number{0};
};

/*! @brief Why a client's connection was closed. */
enum class close_reason : std::uint8_t
{
    idle_time, /*!< No request came within the idle time. */
    stopping,  /*!< The server shuts down. */
    response,  /*!< Its last response, which announced the close, has ended. */
    refused,   /*!< Its input was invalid, too large or too slow. */
    overload,  /*!< It waited for too long to be read, and got a 503. */
    memory,    /*!< Its request would take too much memory, and got a 503. */
    crowded,   /*!< Too many were open, and it was the least used. */
    cut,       /*!< Its response was aborted. */
    unsent,    /*!< The client did not read its response. */
    peer       /*!< The client closed it, or the connection failed. */
};

/*! @brief Returns the name of a reason in snake_case. */
[[nodiscard]] std::string_view close_reason_name(close_reason reason);

/*! @brief A client's connection at its close. */
struct closed_connection
{
    close_reason reason{close_reason::peer};
    std::size_t unread_bytes{0}; /*!< Received and not handled: a request that
                                    gets no answer may be among them. */
    std::size_t unsent_bytes{0}; /*!< Queued and not taken by the client. */
    std::string peer;            /*!< `IP:port` of the client. */
    /*! @brief A request was complete, but its client had disconnected before it
     * was read; it was not handled. */
    bool request_dropped{false};
};

/*! @brief Serves HTTP/1.1. Invalid input gets a 400, 408, 413 or 431 and the
 * connection is closed; the handler is not called. */
class stream_server
{
public:
    using handler = std::function<void(stream_request, stream_reply)>;
    using close_handler = std::function<void(const closed_connection&)>;

    /*! @brief Starts to listen; port 0 selects any free port.
     * @return The server, or an `unavailable` error if it cannot listen. */
    [[nodiscard]] static result<std::unique_ptr<stream_server>>
    create(event_loop& loop, const std::string& address, std::uint16_t port,
           stream_limits limits, handler handle);

    ~stream_server();

    /*! @brief Changes the limits. A longer idle time holds for connections that
     * already wait; a shorter one holds once all clients know it. Other timers
     * that are already running keep their old limit. */
    void limits(const stream_limits& set);

    /*! @brief Bounds the bytes that are queued for all clients together; 0
     * removes the bound. Beyond it the slowest readers are cut. */
    void limit_unsent(std::size_t bytes);

    /*! @brief Bounds the memory, in bytes, that all requests hold together
     * until their response has ended; 0 removes the bound. Beyond it requests
     * that are still being received get a 503. */
    void limit_requests(std::size_t bytes);

    /*! @brief Bounds the number of open connections, each of which takes a file
     * descriptor; 0 removes the bound. For a further one the least used is
     * closed: one that has sent no request, or has rested for the longest time.
     * While all wait for responses, the new one is closed. */
    void limit_connections(std::size_t count);

    /*! @brief Has new connections refused with 503 that could not be read
     * within a time, since the process is busy. Without this they wait. */
    void refuse_unread_after(milliseconds wait);

    /*! @brief Sets the headers of each 503 that the server itself sends. */
    void refusal_headers(header_list headers);

    /*! @brief Sets a callback for each connection that closes. */
    void on_close(close_handler call);

    /*! @brief Begins a planned shutdown: every response that starts from now on
     * carries `Connection: close`, and its connection closes after it. */
    void retire();

    /*! @brief Closes connections on which no request is being read or handled
     * and none has arrived. */
    void close_idle();

    /*! @brief Closes those of them that have rested for so long that their
     * clients do not reuse them. */
    void close_rested();

    /*! @brief Returns the listening port. */
    [[nodiscard]] std::uint16_t port() const;

    /*! @brief Returns the number of open connections. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns how many bytes are queued for all clients. */
    [[nodiscard]] std::size_t unsent() const;

    /*! @brief Returns the memory that requests hold, in bytes. */
    [[nodiscard]] std::size_t request_bytes() const;

    /*! @brief Returns the number of requests whose response has not ended. */
    [[nodiscard]] std::size_t answering() const;

private:
    struct implementation;
    explicit stream_server(std::shared_ptr<implementation> shared);

    std::shared_ptr<implementation> self;
};

} // namespace coursejunction

#endif

/*! @file
 * @brief A client's connection to a stream server.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_STREAM_CONNECTION_HPP
#define COURSEJUNCTION_NET_INTERNAL_STREAM_CONNECTION_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/internal/idle_times_in_force.hpp"
#include "coursejunction/net/request_budget.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/net/unsent_budget.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief Maximum number of bytes of further requests that are read while one
 * is handled. The close of a connection is only seen after everything that was
 * sent before it.
 */
inline constexpr std::size_t read_ahead_bytes = 16'384;

/*! @brief Of what use an open connection is to its client; the one with the
 * least is closed first. */
struct connection_use
{
    enum class kind : std::uint8_t
    {
        ended,   /*!< Its last response was sent. */
        unused,  /*!< No request was received on it. */
        resting, /*!< It has had a request. */
        reading  /*!< It has had a request, and receives the next one. */
    };

    kind what{kind::ended};
    time_point since{}; /*!< When the client last sent something. */

    [[nodiscard]] bool operator<(const connection_use& other) const
    {
        return what != other.what ? what < other.what : since < other.since;
    }
};

/*! @brief State shared by a server and its connections. */
struct stream_server_state
{
    const event_loop* loop{nullptr};
    stream_limits limits;
    idle_times_in_force idle_times;
    stream_server::handler handle;
    stream_server::close_handler report_close;
    bool retiring{false};
    std::size_t max_connections{0}; /*!< 0: without limit. */
    std::size_t open_answers{0};
    std::unordered_set<stream_reply::target*> connections;
    unsent_budget<stream_reply::target*> unsent;
    request_budget<stream_reply::target*> requests;
    header_list refusal_headers; /*!< Of a 503. */
    bool cut_scheduled{false}; /*!< The slowest readers are about to be cut. */
};

} // namespace internal

/*! @brief A client's connection: reads a request, waits until its response has
 * ended, then reads the next one. */
class stream_reply::target
    : public std::enable_shared_from_this<stream_reply::target>
{
public:
    /*! @param since When the connection may have arrived at the earliest. */
    target(boost::asio::ip::tcp::socket owned,
           std::shared_ptr<internal::stream_server_state> owner,
           time_point since);

    ~target();

    /*! @brief Starts to read the first request. */
    void start();

    /*! @brief Refuses a connection that has waited for too long without having
     * been read, if a request is there; starts it otherwise. */
    void refuse_unread();

    /*! @brief Refuses the request that is being received with 503, since it
     * would take too much memory. */
    void refuse_for_memory();

    /*! @brief Records since when the input that is about to be read can have
     * waited; input that is behind other input counts from that. */
    void note_input();

    /*! @brief Drops the callbacks of the request that is being handled. */
    void forget_callbacks()
    {
        disconnect_callback = nullptr;
        drained_callback = nullptr;
    }

    /*! @brief Closes the connection if it has been idle since a time, unless a
     * request has arrived. */
    void close_if_idle(time_point since);

    /*! @brief Returns the use of the connection; nothing while its client waits
     * for a response. */
    [[nodiscard]] std::optional<internal::connection_use> use() const;

    /*! @brief Closes the connection, since another one needs its descriptor. */
    void close_for_another() { close(close_reason::crowded); }

    /*! @brief Sends a complete response. Like the members below, it does
     * nothing unless `request_number` is the request that is being handled. */
    void send(std::uint64_t request_number, int status,
              const header_list& headers, std::string_view body);

    /*! @brief Sends the head of a response of unknown length. */
    void begin(std::uint64_t request_number, int status,
               const header_list& headers);

    /*! @brief Sends a part of the body. */
    void write(std::uint64_t request_number, std::string_view bytes);

    /*! @brief Ends the response as complete. */
    void finish(std::uint64_t request_number);

    /*! @brief Aborts the response: closes the connection before the last chunk.
     */
    void cut(std::uint64_t request_number);

    /*! @brief Aborts the response of a client that does not read: resets the
     * connection and discards what is queued. */
    void drop(std::uint64_t request_number);

    /*! @brief Sets a callback for a client that disconnects before the response
     * has ended. */
    void on_disconnect(std::uint64_t request_number,
                       std::function<void()> call);

    /*! @brief Sets a callback that is called once fewer than `below` bytes are
     * queued. */
    void on_drained(std::uint64_t request_number, std::size_t below,
                    std::function<void()> call);

    /*! @brief Looks for a disconnect that the loop has not come to yet, and
     * closes the connection then.
     * @return Whether the client still waits for the response. */
    [[nodiscard]] bool check_connected(std::uint64_t request_number);

    /*! @brief Returns how many bytes are queued. */
    [[nodiscard]] std::size_t unsent(std::uint64_t request_number) const;

private:
    enum class phase : std::uint8_t
    {
        idle,
        reading,
        answering,
        sending,   /*!< Sends the rest of a response before the next request. */
        closing,   /*!< Sends what is queued. */
        lingering, /*!< Has sent all, waits for the client to close. */
        closed
    };

    [[nodiscard]] bool is_current(std::uint64_t request_number) const;
    [[nodiscard]] bool closes_after_response() const;
    void next_request();
    void read_request();
    void read_input();
    void input_read(const boost::system::error_code& fault, std::size_t count);
    void parse_input();

    /*! @brief Acts on a request's head.
     * @return Whether the request is read on. */
    [[nodiscard]] bool head_read();

    /*! @brief Records what the request holds so far, and refuses requests if
     * that is too much.
     * @return Whether this one is read on. */
    [[nodiscard]] bool account();
    void release_input();
    void reject(const boost::system::error_code& fault);

    /*! @brief Sends an error status for input that cannot be parsed, then
     * closes. */
    void refuse(int status);
    void refuse_with(int status, const header_list& headers, close_reason why);

    /*! @brief Handles a complete request, unless its client has disconnected:
     * the close may have been in the kernel for as long as the request. */
    void request_read();

    /*! @brief Detects that the client disconnects while its request is handled.
     * Requests that arrive meanwhile are read up to a bound. */
    void watch_for_close();

    /*! @brief Detects it while as much as possible is read ahead. */
    void poll_for_close();
    void check_peer();
    void end_answer(bool last);

    /*! @brief Closes the connection when the client has taken nothing of a
     * response for the idle time. */
    void watch_for_stall();

    /*! @brief Closes the connection once everything that is queued was sent. */
    void close_when_sent(close_reason why);

    /*! @brief Sets whether the close of the connection, also by the end of the
     * process, resets it. For a response that only its connection delimits: any
     * other close would state that it is complete. */
    void reset_on_close(bool enabled);

    /*! @brief Tells the client that nothing follows, and drops its input until
     * it closes, for a limited time. */
    void linger();
    void discard_input();
    void count_answer_ended();
    void queue(std::string bytes);

    /*! @brief Cuts the slowest readers, after the current work of the loop, if
     * all connections together hold more than the bound. */
    void enforce_total();
    void write_next();
    void written(const boost::system::error_code& fault, std::size_t count);

    /*! @brief Closes the connection if it is still in this phase after `limit`;
     * sends `status` first unless it is 0.
     */
    void start_deadline(milliseconds limit, int status);

    /*! @brief Closes the connection unless a request has arrived. */
    void idle_time_over();

    /*! @brief Counts received bytes that no request was made of. */
    [[nodiscard]] std::size_t unread() const;

    /*! @brief Closes the connection. If its end was decided before, the earlier
     * reason is reported. */
    void close(close_reason why);

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer deadline;
    std::shared_ptr<internal::stream_server_state> server;
    boost::beast::flat_buffer input;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser;
    std::deque<std::string> output;
    std::size_t front_sent{0}; /*!< Sent bytes of the first block of `output`.
                                */
    std::size_t unsent_bytes{0};
    std::string peer_address;
    std::function<void()> disconnect_callback;
    std::function<void()> drained_callback;
    std::size_t drained_below{0};
    time_point idle_since{};
    time_point received_at;   /*!< When the client last sent something, or
                                 connected. */
    time_point input_since{}; /*!< See `note_input`. */
    time_point taken_at{};    /*!< When the client last took output, or when the
                                 first of it was queued. */
    std::size_t discarded_bytes{0};
    std::size_t head_cost{0}; /*!< Estimated bytes of the request's fields. */
    std::uint64_t current_number{0};
    unsigned version{11};
    std::optional<close_reason> end_reason;
    phase state{phase::idle};
    bool keep_alive{true};
    bool head_only{false};
    bool head_sent{false};
    bool close_after{false};
    bool resets_on_close{false};
    bool request_dropped{false};
    bool input_in_use{false}; /*!< A read into `input` is pending. */
};

} // namespace coursejunction

#endif

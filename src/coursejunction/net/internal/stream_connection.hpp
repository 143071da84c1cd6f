/*! @file
 * @brief One caller's connection to a stream server.
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
#include "coursejunction/net/stream_server.hpp"

namespace coursejunction
{

namespace internal
{

/*! @brief What a server and its connections share. */
struct stream_server_state
{
    stream_limits bounds;
    stream_server::handler handle;
    bool retiring{false};
    std::size_t open_answers{0};
    std::unordered_set<stream_reply::target*> connections;
};

} // namespace internal

/*! @brief One caller's connection: reads a request, waits for its answer,
 * reads the next. */
class stream_reply::target
    : public std::enable_shared_from_this<stream_reply::target>
{
public:
    target(boost::asio::ip::tcp::socket owned,
           std::shared_ptr<internal::stream_server_state> owner);

    ~target();

    /*! @brief Begins to read the first request. */
    void start();

    /*! @brief Closes unless a request is being read or answered. */
    void close_if_idle();

    /*! @brief Sends a whole answer; like all that follow, it does nothing
     * unless `of` is the number of the request that is being answered. */
    void send(std::uint64_t of, int status, const header_list& headers,
              std::string_view body);

    /*! @brief Sends the head of an answer whose length is not known. */
    void begin(std::uint64_t of, int status, const header_list& headers);

    /*! @brief Sends a part of the body. */
    void write(std::uint64_t of, std::string_view bytes);

    /*! @brief Ends the answer as whole. */
    void finish(std::uint64_t of);

    /*! @brief Ends the answer visibly broken. */
    void cut(std::uint64_t of);

    /*! @brief Sets what is called when the caller leaves before the end. */
    void on_left(std::uint64_t of, std::function<void()> call);

    /*! @brief Returns how many bytes wait for the caller to read. */
    [[nodiscard]] std::size_t unsent(std::uint64_t of) const;

private:
    enum class step : std::uint8_t
    {
        idle,
        reading,
        answering,
        closing,
        closed
    };

    [[nodiscard]] bool current(std::uint64_t of) const;
    [[nodiscard]] bool closing() const;
    void next_request();
    void read_head();
    void head_read(const boost::system::error_code& fault);
    void reject(const boost::system::error_code& fault);

    /*! @brief Answers what cannot be read and closes. */
    void refuse(int status);
    void request_read();

    /*! @brief Notices that the caller closes while its answer is made. */
    void watch_leaving();
    void look(std::uint64_t);
    void end_answer(bool last);
    void leave_answer();
    void queue(std::string bytes);
    void write_next();
    void written(const boost::system::error_code& fault);

    /*! @brief Closes after a time in this step, with a status unless it is 0.
     */
    void arm(milliseconds limit, int status);
    void close();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer clock;
    std::shared_ptr<internal::stream_server_state> server;
    boost::beast::flat_buffer input;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser;
    std::deque<std::string> output;
    std::size_t unsent_bytes{0};
    std::string from;
    std::function<void()> left;
    std::uint64_t number{0};
    unsigned version{11};
    step state{step::idle};
    bool keep_alive{true};
    bool head_only{false};
    bool begun{false};
    bool close_after{false};
};

} // namespace coursejunction

#endif

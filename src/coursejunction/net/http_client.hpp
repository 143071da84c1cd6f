/*! @file
 * @brief HTTP client on libcurl; one thread runs all calls.
 */
#ifndef COURSEJUNCTION_NET_HTTP_CLIENT_HPP
#define COURSEJUNCTION_NET_HTTP_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"
#include "coursejunction/net/http_server.hpp"

namespace coursejunction
{

/*! @brief How far a call got. */
enum class http_reach : std::uint8_t
{
    answered,   /*!< A response was received to the end of its framing, or of
                   its connection where it is `unframed`. */
    not_sent,   /*!< No connection was made: the server did not receive the
                    call. */
    interrupted /*!< The call failed after connecting: the server may have
                    run it. */
};

/*! @brief One HTTP call. */
struct http_call
{
    std::string method{"GET"};
    std::string url;
    header_map headers;
    std::string body;
    milliseconds timeout{0};     /*!< For the whole call; 0 disables it. */
    milliseconds answer_time{0}; /*!< Longest time without received bytes before
                                    the body starts; 0 disables it. */
    milliseconds stall_time{0};  /*!< Longest time without received bytes once
                                    the  body has started; 0 disables it. */
    /*! @brief Largest buffered body of the response in bytes; the call fails
     * beyond it. A server in trouble may send without end. */
    std::size_t max_body{std::size_t{64} << 20U};
    /*! @brief Forces a new connection. libcurl silently resends a call when a
     * reused connection closes before the response: a request that crashed its
     * upstream was delivered twice, and the result of the second delivery
     * ("not run") was reported to the caller. */
    bool new_connection{false};
};

/*! @brief Result of a call. */
struct http_result
{
    http_reach reach{http_reach::not_sent};
    int status{0};
    header_map headers;
    std::string body;
    std::string fault;
    std::size_t received{0}; /*!< Bytes of the body received. */
    /*! @brief The response has neither a length nor chunks: the end of its
     * connection does not tell whether the body is complete. */
    bool unframed{false};
    /*! @brief Time to open a new connection; zero on a reused one. */
    std::chrono::microseconds connect_time{0};

    /*! @brief Returns whether a complete response with status 2xx was received.
     */
    [[nodiscard]] bool ok() const
    {
        return reach == http_reach::answered && status >= 200 && status < 300;
    }
};

/*! @brief Runs concurrent calls; callbacks run on the loop's thread. */
class http_client
{
public:
    /*! @brief Identifies a call for `cancel`. */
    using call_id = std::uint64_t;
    using done_callback = std::function<void(http_result)>;
    using data_callback = std::function<void(int status, std::string bytes)>;

    explicit http_client(event_loop& loop);
    ~http_client();

    /*! @brief Starts a call.
     * @param done Called once at the end, unless cancelled.
     * @param data If set, receives each part of a 2xx body, which is then not
     * buffered. */
    call_id start(http_call call, done_callback done, data_callback data = {});

    /*! @brief Cancels a call; none of its callbacks is called afterwards. */
    void cancel(call_id which);

    /*! @brief Returns how many calls are open. */
    [[nodiscard]] std::size_t size() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

/*! @brief Runs one call on the calling thread and waits for its result.
 * `answer_time` and `stall_time` have no effect here. */
[[nodiscard]] http_result perform(const http_call& call,
                                  const http_client::data_callback& data = {});

} // namespace coursejunction

#endif

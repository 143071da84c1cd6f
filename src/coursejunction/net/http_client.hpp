/*! @file
 * @brief HTTP client on libcurl; one thread carries all calls.
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
    answered,   /*!< A whole answer came. */
    not_sent,   /*!< No connection: the server never saw the call. */
    interrupted /*!< The server may have acted. */
};

/*! @brief One call. */
struct http_call
{
    std::string method{"GET"};
    std::string url;
    header_map headers;
    std::string body;
    milliseconds timeout{0};     /*!< Of the whole call; zero for none. */
    milliseconds answer_time{0}; /*!< To the first byte of the answer; zero for
                                    none. */
    milliseconds stall_time{0};  /*!< Between two parts of the answer, however
                                    long the whole takes; zero for none. */
    /*! @brief Goes out on a new connection. The library sends a call once more,
     * unseen, when a kept connection ends before the answer: what ended its
     * upstream reached it twice, and what the second one told ("not run") was
     * passed on. */
    bool new_connection{false};
};

/*! @brief The end of a call. */
struct http_result
{
    http_reach reach{http_reach::not_sent};
    int status{0};
    header_map headers;
    std::string body;
    std::string fault;
    std::size_t received{0}; /*!< Bytes of the body that came. */
    /*! @brief Time that a new connection took; zero on a kept one. */
    std::chrono::microseconds connect_time{0};

    /*! @brief Tells whether a whole answer with status 2xx came. */
    [[nodiscard]] bool ok() const
    {
        return reach == http_reach::answered && status >= 200 && status < 300;
    }
};

/*! @brief Runs many calls at once; callbacks are on the loop's thread. */
class http_client
{
public:
    /*! @brief Number of a call, for `cancel`. */
    using call_id = std::uint64_t;
    using done_callback = std::function<void(http_result)>;
    using data_callback = std::function<void(int status, std::string bytes)>;

    explicit http_client(event_loop& loop);
    ~http_client();

    /*! @brief Starts a call.
     * @param done Called once at the end, unless cancelled.
     * @param data When set, called with each part of a 2xx body in place of
     * gathering it. */
    call_id start(http_call call, done_callback done, data_callback data = {});

    /*! @brief Ends a call; none of its callbacks is called any more. */
    void cancel(call_id which);

    /*! @brief Returns how many calls are open. */
    [[nodiscard]] std::size_t size() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

/*! @brief Runs one call to its end on this thread. */
[[nodiscard]] http_result perform(const http_call& call,
                                  const http_client::data_callback& data = {});

} // namespace coursejunction

#endif

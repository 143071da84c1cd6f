/*! @file
 * @brief HTTP/1.1 client on Boost.Beast that runs on the loop's thread and
 * tells exactly how far each call got.
 */
#ifndef COURSEJUNCTION_NET_STREAM_CLIENT_HPP
#define COURSEJUNCTION_NET_STREAM_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"
#include "coursejunction/net/header_list.hpp"

namespace coursejunction
{

/*! @brief One call. Unless `repeatable` is set it has a connection of its own:
 * no earlier call can have left bytes on it, and it cannot be half closed. */
struct stream_call
{
    std::string address; /*!< `IP:port`. */
    std::string method{"GET"};
    std::string target;
    header_list headers;
    std::string body;
    milliseconds connect_time{250};
    milliseconds timeout{0};    /*!< Of the whole call; zero for none. */
    milliseconds stall_time{0}; /*!< Before the answer and between two parts of
                                   it, however long the whole takes; zero for
                                   none. */
    /*! @brief The call may go out on a kept connection, and once more on a new
     * one when the kept one turns out to be dead. */
    bool repeatable{false};
};

/*! @brief How a call ended. */
enum class stream_end : std::uint8_t
{
    whole,    /*!< The answer is whole. */
    not_sent, /*!< No byte of the request was written. */
    closed,   /*!< The peer ended the connection before the answer. */
    broken,   /*!< The time ran out, or the connection was lost otherwise. */
    malformed /*!< The answer was not HTTP. */
};

/*! @brief Head of an answer. */
struct stream_head
{
    int status{0};
    header_list headers;
};

/*! @brief Runs calls; callbacks are on the loop's thread. */
class stream_client
{
public:
    using call_id = std::uint64_t;

    /*! @brief What is called back; `ended` comes last and once, unless the
     * call was cancelled. */
    struct callbacks
    {
        std::function<void(const stream_head&)> head;
        std::function<void(std::string_view)> data;
        std::function<void(stream_end, const std::string& why)> ended;
    };

    explicit stream_client(event_loop& loop);
    ~stream_client();

    /*! @brief Starts a call. */
    call_id start(stream_call call, callbacks to);

    /*! @brief Closes a call's connection; none of its callbacks is called any
     * more. */
    void cancel(call_id which);

    /*! @brief Closes the idle connections that are kept to an address: whoever
     * they led to is gone. */
    void forget(const std::string& address);

    /*! @brief Opens a connection and closes it again.
     * @param done Told whether it was refused: nobody listens there. Silence is
     * no refusal. */
    void probe(const std::string& address,
               std::function<void(bool refused)> done);

    /*! @brief Whole answer of a short call. */
    struct answer
    {
        stream_end end{stream_end::not_sent};
        int status{0};
        header_list headers;
        std::string body;
        std::string why;

        /*! @brief Tells whether a whole answer with this status came. */
        [[nodiscard]] bool is(int expected) const
        {
            return end == stream_end::whole && status == expected;
        }
    };

    /*! @brief Starts a call whose answer is gathered before it is told. */
    call_id gather(stream_call call, std::function<void(answer)> done);

    /*! @brief Returns how many calls are open. */
    [[nodiscard]] std::size_t size() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace coursejunction

#endif

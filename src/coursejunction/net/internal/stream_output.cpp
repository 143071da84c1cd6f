#include <algorithm>
#include <cstddef>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/stream_connection.hpp"

namespace coursejunction
{

namespace asio = boost::asio;

namespace internal
{

/*! @brief Largest part of a response, in bytes, that is written at a time. The
 * end of each write shows that the client takes the response. */
constexpr std::size_t max_write_bytes = 65'536;

} // namespace internal

void stream_reply::target::enforce_total()
{
    if (!server->unsent.exceeded() || server->cut_scheduled)
        return;
    server->cut_scheduled = true;
    // Not at once: the close of a connection calls back into the code that has
    // just written to another one.
    asio::post(socket.get_executor(),
               [shared = server]
               {
                   shared->cut_scheduled = false;
                   while (const auto slowest = shared->unsent.slowest())
                   {
                       const auto held = (*slowest)->weak_from_this().lock();
                       shared->unsent.erase(*slowest);
                       if (held)
                           held->close(close_reason::unsent);
                   }
               });
}

void stream_reply::target::write_next()
{
    const auto& block = output.front();
    const auto left =
        std::min(block.size() - front_sent, internal::max_write_bytes);
    asio::async_write(socket, asio::buffer(block.data() + front_sent, left),
                      [self = shared_from_this()](
                          const boost::system::error_code& fault,
                          std::size_t count) { self->written(fault, count); });
}

void stream_reply::target::written(const boost::system::error_code& fault,
                                   std::size_t count)
{
    if (state == phase::closed)
        return;
    if (fault)
    {
        end_reason = close_reason::peer;
        return close(close_reason::peer);
    }
    front_sent += count;
    const bool block_done = front_sent == output.front().size();
    const auto released = block_done ? front_sent : 0;
    taken_at = event_loop::now();
    server->unsent.taken(this, released, taken_at);
    unsent_bytes -= released;
    if (block_done)
    {
        output.pop_front();
        front_sent = 0;
    }
    if (!output.empty())
        write_next();
    else if (state == phase::closing)
        return linger();
    else if (state == phase::sending)
        return next_request();
    if (drained_callback && unsent_bytes < drained_below)
        std::exchange(drained_callback, nullptr)();
}

} // namespace coursejunction

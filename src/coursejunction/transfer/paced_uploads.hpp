/*! @file
 * @brief Sends chunks to peers at a part of the link's rate, so that live
 * answers on the same link are not held up.
 */
#ifndef COURSEJUNCTION_TRANSFER_PACED_UPLOADS_HPP
#define COURSEJUNCTION_TRANSFER_PACED_UPLOADS_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "coursejunction/core/pacing.hpp"
#include "coursejunction/net/event_loop.hpp"

namespace coursejunction
{

/*! @brief Uploads one after another. */
class paced_uploads
{
public:
    /*! @brief Part of the link that uploads may fill. One chunk of 32 KiB then
     * holds a live answer up by 35 ms at 7.6 Mbit/s. */
    static constexpr double link_part = 0.95;

    /*! @brief Uploads that may wait; the last of them waits 0.5 s. */
    static constexpr std::size_t most_waiting = 12;

    paced_uploads(event_loop& owner, byte_rate rate) : loop(owner), link(rate)
    {
        link.limit_to(link_part);
    }

    /*! @brief Queues an upload.
     * @param urgent Another hall waits for it: it goes first.
     * @return False when too many wait. */
    bool offer(std::size_t bytes, bool urgent, std::function<void()> send)
    {
        if (!urgent && queue.size() >= most_waiting)
            return false;
        if (urgent)
            queue.push_front({bytes, std::move(send)});
        else
            queue.push_back({bytes, std::move(send)});
        if (!running)
            next();
        return true;
    }

    [[nodiscard]] std::size_t size() const { return queue.size(); }

private:
    struct upload
    {
        std::size_t bytes{0};
        std::function<void()> send;
    };

    void next()
    {
        running = !queue.empty();
        if (!running)
            return;
        const auto one = std::move(queue.front());
        queue.pop_front();
        one.send();
        const auto now = event_loop::now();
        const auto free_at = link.reserve(static_cast<double>(one.bytes), now);
        pause = loop.after(free_at - now, [this] { next(); });
    }

    event_loop& loop;
    link_pacer link;
    std::deque<upload> queue;
    timer pause;
    bool running{false};
};

} // namespace coursejunction

#endif

/*! @file
 * @brief Sends chunks to peers at a part of the link's rate, so that live
 * answers on the same link are not held up.
 */
#ifndef COURSEJUNCTION_TRANSFER_PACED_UPLOADS_HPP
#define COURSEJUNCTION_TRANSFER_PACED_UPLOADS_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

#include "coursejunction/core/pacing.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/transfer/upload_priority.hpp"

namespace coursejunction
{

/*! @brief Uploads one after another. */
class paced_uploads
{
public:
    /*! @brief Part of the link that uploads may fill. One chunk of 32 KiB then
     * holds a live answer up by 35 ms at 7.6 Mbit/s. */
    static constexpr double link_fraction = 0.95;

    /*! @brief Uploads that may wait; the last of them waits 0.5 s. */
    static constexpr std::size_t max_waiting = 12;

    paced_uploads(event_loop& owner, byte_rate rate) : loop(owner), link(rate)
    {
        link.limit_to(link_fraction);
    }

    /*! @brief Queues an upload.
     * @param order Lower ones go first; equal ones in the order they came.
     * @return False when too many wait. */
    bool offer(std::size_t bytes, upload_priority order,
               std::function<void()> send)
    {
        if (order != upload_priority::urgent && queue.size() >= max_waiting)
            return false;
        const auto place =
            std::upper_bound(queue.begin(), queue.end(), order,
                             [](upload_priority of, const upload& one)
                             { return of < one.order; });
        queue.insert(place, {bytes, order, std::move(send)});
        if (!running)
            next();
        return true;
    }

    [[nodiscard]] std::size_t size() const { return queue.size(); }

private:
    struct upload
    {
        std::size_t bytes{0};
        upload_priority order{};
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
        // A timer that fires late costs nothing of the rate.
        const auto due = now - free_at <= late_timer ? free_at : now;
        free_at = link.reserve(static_cast<double>(one.bytes), due);
        pause = loop.after(std::max(free_at - now, time_point::duration(0)),
                           [this] { next(); });
    }

    /*! @brief A timer may fire this late while uploads wait; a chunk takes 36
     * ms. */
    static constexpr milliseconds late_timer{30};

    event_loop& loop;
    link_pacer link;
    std::deque<upload> queue;
    time_point free_at{}; /*!< When the last upload has passed. */
    timer pause;
    bool running{false};
};

} // namespace coursejunction

#endif

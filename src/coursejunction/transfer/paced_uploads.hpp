/*! @file
 * @brief Sends chunks to peers at a fraction of the rate of the link, so that
 * live responses on the same link are not delayed.
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

/*! @brief Sends uploads one after another, in order of priority. */
class paced_uploads
{
public:
    /*! @brief Fraction of the link that uploads may use. One chunk of 32 KiB
     * then delays a live response by 35 ms at 7.6 Mbit/s. */
    static constexpr double link_fraction = 0.95;

    /*! @brief An upload that is not urgent is rejected while this many are
     * queued; the last of them waits 0.5 s. */
    static constexpr std::size_t max_waiting = 12;

    paced_uploads(event_loop& events, byte_rate rate) : loop(events), link(rate)
    {
        link.limit_to(link_fraction);
    }

    /*! @brief Queues an upload.
     * @param priority Uploads of the same priority are sent in the order in
     * which they arrived.
     * @param send Starts the upload; called once.
     * @return False when too many uploads are queued. */
    bool offer(std::size_t bytes, upload_priority priority,
               std::function<void()> send)
    {
        if (priority != upload_priority::urgent && queue.size() >= max_waiting)
            return false;
        const auto position =
            std::upper_bound(queue.begin(), queue.end(), priority,
                             [](upload_priority wanted, const upload& one)
                             { return wanted < one.priority; });
        queue.insert(position, {bytes, priority, std::move(send)});
        if (!running)
            send_next();
        return true;
    }

    [[nodiscard]] std::size_t size() const { return queue.size(); }

private:
    struct upload
    {
        std::size_t bytes{0};
        upload_priority priority{};
        std::function<void()> send;
    };

    void send_next()
    {
        running = !queue.empty();
        if (!running)
            return;
        const auto one = std::move(queue.front());
        queue.pop_front();
        one.send();
        const auto now = event_loop::now();
        // A timer that fires slightly late must not lower the rate.
        const auto due =
            now - link_free_at <= max_timer_delay ? link_free_at : now;
        link_free_at = link.reserve(static_cast<double>(one.bytes), due);
        pacing_timer =
            loop.after(std::max(link_free_at - now, time_point::duration(0)),
                       [this] { send_next(); });
    }

    /*! @brief Maximum timer delay that is made up for while uploads are queued;
     * a chunk takes 36 ms. */
    static constexpr milliseconds max_timer_delay{30};

    event_loop& loop;
    link_pacer link;
    std::deque<upload> queue;
    time_point link_free_at{}; /*!< When the link has sent the last upload. */
    timer pacing_timer;
    bool running{false};
};

} // namespace coursejunction

#endif

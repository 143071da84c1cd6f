/*! @file
 * @brief Simulated link with fair sharing, for tests with many concurrent
 * transfers.
 */
#ifndef COURSEJUNCTION_TESTS_NET_NARROW_LINK_HPP
#define COURSEJUNCTION_TESTS_NET_NARROW_LINK_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "coursejunction/net/event_loop.hpp"

namespace loopback
{

/*! @brief Transfers items of equal size; the open transfers share the rate
 * evenly. Used on its loop's thread only. */
class narrow_link
{
public:
    using transfer_id = std::uint64_t;

    /*! @param items_per_second Total rate of the link. */
    narrow_link(coursejunction::event_loop& owner, double items_per_second)
        : rate(items_per_second),
          last_advance(coursejunction::event_loop::now()),
          tick(owner.every(std::chrono::milliseconds(2), [this] { advance(); }))
    {
    }

    /*! @brief Starts the transfer of one item.
     * @param done Called when it is complete. */
    transfer_id carry(std::function<void()> done)
    {
        open[++last_id] = {std::move(done), 1};
        max_open = std::max(max_open, open.size());
        return last_id;
    }

    /*! @brief Cancels a transfer; its `done` is not called. */
    void give_up(transfer_id which) { open.erase(which); }

    /*! @brief Returns the highest number of concurrent transfers so far. */
    [[nodiscard]] std::size_t most_open() const { return max_open; }

private:
    struct transfer
    {
        std::function<void()> done;
        double remaining{1};
    };

    void advance()
    {
        const auto now = coursejunction::event_loop::now();
        const auto transferred =
            rate * coursejunction::to_seconds(now - last_advance);
        last_advance = now;
        std::vector<std::function<void()>> completed;
        const auto share = transferred / static_cast<double>(open.size());
        for (auto& [id, one] : open)
        {
            one.remaining -= share;
            if (one.remaining <= 0)
                completed.push_back(std::move(one.done));
        }
        std::erase_if(open, [](const auto& one)
                      { return one.second.remaining <= 0; });
        for (const auto& done : completed)
            done();
    }

    double rate;
    std::map<transfer_id, transfer> open;
    transfer_id last_id{0};
    std::size_t max_open{0};
    coursejunction::time_point last_advance;
    coursejunction::timer tick;
};

} // namespace loopback

#endif

/*! @file
 * @brief A link that all who use it share evenly, for tests of what happens
 * when many use it at once.
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

/*! @brief Carries things of one size; used on its loop's thread only. */
class narrow_link
{
public:
    using transfer_id = std::uint64_t;

    /*! @param each_second Things that it carries in a second. */
    narrow_link(coursejunction::event_loop& owner, double each_second)
        : rate(each_second), last(coursejunction::event_loop::now()),
          ticking(
              owner.every(std::chrono::milliseconds(2), [this] { advance(); }))
    {
    }

    /*! @brief Begins to carry one thing.
     * @param done Called when it has come. */
    transfer_id carry(std::function<void()> done)
    {
        open[++newest] = {std::move(done), 1};
        most = std::max(most, open.size());
        return newest;
    }

    /*! @brief What has come of it is lost. */
    void give_up(transfer_id which) { open.erase(which); }

    /*! @brief Returns how many things were on their way at once at most. */
    [[nodiscard]] std::size_t most_open() const { return most; }

private:
    struct transfer
    {
        std::function<void()> done;
        double left{1};
    };

    void advance()
    {
        const auto now = coursejunction::event_loop::now();
        const auto carried = rate * coursejunction::to_seconds(now - last);
        last = now;
        std::vector<std::function<void()>> come;
        const auto share = carried / static_cast<double>(open.size());
        for (auto& [id, one] : open)
        {
            one.left -= share;
            if (one.left <= 0)
                come.push_back(std::move(one.done));
        }
        std::erase_if(open,
                      [](const auto& one) { return one.second.left <= 0; });
        for (const auto& done : come)
            done();
    }

    double rate;
    std::map<transfer_id, transfer> open;
    transfer_id newest{0};
    std::size_t most{0};
    coursejunction::time_point last;
    coursejunction::timer ticking;
};

} // namespace loopback

#endif

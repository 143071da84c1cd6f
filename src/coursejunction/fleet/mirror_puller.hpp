/*! @file
 * @brief Fetches from peers what they know of the platform's store and this
 * process does not.
 */
#ifndef COURSEJUNCTION_FLEET_MIRROR_PULLER_HPP
#define COURSEJUNCTION_FLEET_MIRROR_PULLER_HPP

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/fleet/fetch_turn.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

/*! @brief What a `mirror_puller` needs of its process. */
struct mirror_puller_hooks
{
    std::function<hall_standing()> standing;
    std::function<void(const message::mirror_page&, const std::string& from)>
        took;
    std::function<void()> begun; /*!< Fetches for its hall from now on. */
};

/*! @brief Pulls pages. A peer of the own hall is asked at once; over the links
 * between halls one process at a time fetches for its hall. */
class mirror_puller
{
public:
    static constexpr std::string_view target = "/mirror?after=";

    /*! @brief How long peers of the own hall have to tell what one of another
     * hall already told. */
    static constexpr milliseconds near_first{80};

    /*! @brief Pause before a process that waits for its turn looks again. */
    static constexpr milliseconds look_again{50};

    /*! @brief Longest silence of a peer while a page comes; a link that is full
     * keeps a packet for some 200 ms. The whole may take as long as it moves:
     * under a limit of 2 s for the whole, pages of 1.7 MB never ended. */
    static constexpr milliseconds stall_time{700};

    /*! @brief Time for a connection: soon enough to leave a peer that is cut
     * off, and longer after each failure, as it may be the link that is full.
     */
    static constexpr milliseconds least_connect{250};
    static constexpr milliseconds most_connect{1000};

    /*! @brief A pull that lasts this long may come over a squeezed link, where
     * it moves and does not end: another peer of the own hall is asked beside
     * it. A packed page takes 0.2 s over 7.6 Mbit/s. */
    static constexpr milliseconds patience{800};

    /*! @brief Pulls of one kind at once; the first goes on, as all links may
     * be slow. */
    static constexpr std::size_t most_pulls = 2;

    /*! @param seed Spreads the pauses of processes that fail together. */
    mirror_puller(event_loop& owner, stream_client& client, metrics& counted,
                  const store_mirror& held, const peer_directory& known,
                  std::uint64_t seed)
        : loop(owner), calls(client), counters(counted), mirror(held),
          directory(known), near(seed), far(~seed), pulls(seed)
    {
    }

    /*! @param port `:PORT` of the peers. */
    void start(hall_id own, std::string port, mirror_puller_hooks given)
    {
        hall = std::move(own);
        suffix = std::move(port);
        hooks = std::move(given);
    }

    /*! @brief A peer tells that it knows more. */
    void heard(const std::string& from, bool own_hall)
    {
        const auto now = event_loop::now();
        if (own_hall)
            return pull_near(from, now);
        far.turns.lacking(true, now);
        if (!look_pending && (far.open.empty() || may_repeat_far(now)))
            look_after(near_first);
    }

    /*! @brief Tells whether a page of another hall is under way that this
     * process still lacks. */
    [[nodiscard]] bool fetching() const
    {
        return std::any_of(far.open.begin(), far.open.end(),
                           [this](const open_pull& one)
                           { return one.awaited > mirror.position(); });
    }

private:
    /*! @brief A page that is under way. */
    struct open_pull
    {
        std::string from;
        stream_client::call_id call{0};
        store_position awaited; /*!< What the peer knew when it was asked. */
        time_point began{};
    };

    /*! @brief Pulls from one kind of peers, a second one only beside one that
     * lasts. */
    struct lane
    {
        explicit lane(std::uint64_t seed) : turns(seed) {}

        [[nodiscard]] bool asks(const std::string& peer) const
        {
            return std::any_of(open.begin(), open.end(),
                               [&](const open_pull& one)
                               { return one.from == peer; });
        }

        [[nodiscard]] bool lasts(milliseconds wait, time_point now) const
        {
            return !open.empty() && open.size() < most_pulls &&
                   now - open.back().began >= wait;
        }

        fetch_turn turns;
        std::vector<open_pull> open;
    };

    void pull_near(const std::string& from, time_point now)
    {
        if (near.lasts(patience, now) && !near.asks(from))
            return pull(near, from, "near");
        if (!near.open.empty())
            return;
        near.turns.lacking(true, now);
        if (near.turns.due({}, now))
            pull(near, from, "near");
    }

    /*! @brief Tells whether a peer of another hall is asked beside one that
     * lasts: others of the hall do so in their turn, if there are any. */
    [[nodiscard]] bool may_repeat_far(time_point now) const
    {
        return far.lasts(fetch_turn::hold, now) && directory.alone(hall, now);
    }

    void look_after(milliseconds wait)
    {
        look_pending = true;
        look = loop.after(wait,
                          [this]
                          {
                              look_pending = false;
                              consider_far();
                          });
    }

    void consider_far()
    {
        const auto now = event_loop::now();
        auto from =
            directory.ahead_of(mirror.position(), hall, false, pulls, now);
        far.turns.lacking(!from.empty(), now);
        const bool again = may_repeat_far(now);
        if (again && far.asks(from))
            from = directory.ahead_of(mirror.position(), hall, false, pulls + 1,
                                      now);
        if (from.empty() || far.asks(from) || (!far.open.empty() && !again))
            return;
        if (!again && !far.turns.due(hooks.standing(), now))
            return look_after(look_again);
        pull(far, from, "far");
        hooks.begun();
    }

    void pull(lane& by, const std::string& from, const char* where)
    {
        ++pulls;
        counters.count("fleet_mirror_pulls_total", 1, {{"from", where}});
        stream_call call;
        call.address = from + suffix;
        call.target = std::string(target) + mirror.position().text();
        call.connect_time = connect_time(by);
        call.stall_time = stall_time;
        const auto* peer = directory.find(from);
        open_pull made{from, 0,
                       peer ? peer->last_heartbeat.mirrored : store_position{},
                       event_loop::now()};
        made.call =
            calls.gather(std::move(call),
                         [this, &by, from, where, began = made.began](
                             const stream_client::answer& answer)
                         {
                             std::erase_if(by.open, [&](const open_pull& one)
                                           { return one.from == from; });
                             pulled(by, from, where, began, answer);
                         });
        by.open.push_back(std::move(made));
    }

    /*! @brief Ends pulls whose pages would tell nothing new. */
    void cancel_needless(lane& by)
    {
        std::erase_if(by.open,
                      [this](const open_pull& one)
                      {
                          if (one.awaited > mirror.position())
                              return false;
                          calls.cancel(one.call);
                          return true;
                      });
    }

    static milliseconds connect_time(const lane& by)
    {
        const auto failures =
            static_cast<std::int64_t>(by.turns.failed_in_row());
        return std::min(least_connect * (failures + 1), most_connect);
    }

    void pulled(lane& by, const std::string& from, const char* where,
                time_point began, const stream_client::answer& answer)
    {
        counters.count("fleet_mirror_pull_bytes_total",
                       static_cast<double>(answer.body.size()),
                       {{"from", where}});
        auto page = read(answer);
        if (!page)
            return failed(by, from, where, began, page.error().message,
                          answer.body.size());
        by.turns.succeeded();
        hooks.took(page.value(), from);
        cancel_needless(near);
        cancel_needless(far);
        if (&by == &far)
            consider_far();
    }

    void failed(lane& by, const std::string& from, const char* where,
                time_point began, const std::string& why, std::size_t bytes)
    {
        const auto now = event_loop::now();
        by.turns.failed(now);
        counters.count("fleet_mirror_pull_failures_total", 1,
                       {{"from", where}});
        const auto took =
            std::chrono::duration_cast<milliseconds>(now - began).count();
        log::state("mirror_pull_failed",
                   {{"peer", from},
                    {"why", why},
                    {"bytes", std::to_string(bytes)},
                    {"after_ms", std::to_string(took)},
                    {"failures", std::to_string(by.turns.failed_in_row())},
                    {"revision", mirror.position().text()}});
        if (&by == &far && !look_pending)
            look_after(look_again);
    }

    static result<message::mirror_page>
    read(const stream_client::answer& answer)
    {
        if (!answer.is(200))
            return failure(error_kind::unavailable, answer.why);
        auto page = decode<message::mirror_page>(answer.body);
        if (!page)
            return page;
        return unpacked(std::move(page.value()));
    }

    event_loop& loop;
    stream_client& calls;
    metrics& counters;
    const store_mirror& mirror;
    const peer_directory& directory;
    hall_id hall;
    std::string suffix;
    mirror_puller_hooks hooks;
    lane near;
    lane far;
    timer look;
    bool look_pending{false};
    std::size_t pulls; /*!< Begins anywhere, so that not all ask the same. */
};

} // namespace coursejunction

#endif

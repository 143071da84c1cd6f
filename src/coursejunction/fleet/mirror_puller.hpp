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

    /*! @param seed Spreads the pauses of processes that fail together. */
    mirror_puller(event_loop& owner, stream_client& client, metrics& counted,
                  const store_mirror& held, const peer_directory& known,
                  std::uint64_t seed)
        : loop(owner), calls(client), counters(counted), mirror(held),
          directory(known), near(seed), far(~seed)
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
        far.lines.lacking(true, now);
        if (!look_pending && !far.busy)
            look_after(near_first);
    }

    /*! @brief Tells whether a page of another hall is under way. */
    [[nodiscard]] bool fetching() const noexcept { return far.busy; }

private:
    /*! @brief Pulls from one kind of peers, one at a time. */
    struct lane
    {
        explicit lane(std::uint64_t seed) : lines(seed) {}

        fetch_turn lines;
        bool busy{false};
    };

    void pull_near(const std::string& from, time_point now)
    {
        if (near.busy)
            return;
        near.lines.lacking(true, now);
        if (near.lines.due({}, now))
            pull(near, from, "near");
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
        const auto from =
            directory.ahead_of(mirror.revision(), hall, false, pulls, now);
        far.lines.lacking(!from.empty(), now);
        if (from.empty() || far.busy)
            return;
        if (!far.lines.due(hooks.standing(), now))
            return look_after(look_again);
        pull(far, from, "far");
        hooks.begun();
    }

    void pull(lane& by, const std::string& from, const char* where)
    {
        by.busy = true;
        ++pulls;
        counters.count("fleet_mirror_pulls_total", 1, {{"from", where}});
        stream_call call;
        call.address = from + suffix;
        call.target = std::string(target) + std::to_string(mirror.revision());
        call.connect_time = connect_time(by);
        call.stall_time = stall_time;
        calls.gather(std::move(call),
                     [this, &by, from, where, began = event_loop::now()](
                         const stream_client::answer& answer)
                     {
                         by.busy = false;
                         pulled(by, from, where, began, answer);
                     });
    }

    static milliseconds connect_time(const lane& by)
    {
        const auto failures =
            static_cast<std::int64_t>(by.lines.failed_in_row());
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
        by.lines.succeeded();
        hooks.took(page.value(), from);
        if (&by == &far)
            consider_far();
    }

    void failed(lane& by, const std::string& from, const char* where,
                time_point began, const std::string& why, std::size_t bytes)
    {
        const auto now = event_loop::now();
        by.lines.failed(now);
        counters.count("fleet_mirror_pull_failures_total", 1,
                       {{"from", where}});
        const auto took =
            std::chrono::duration_cast<milliseconds>(now - began).count();
        log::state("mirror_pull_failed",
                   {{"peer", from},
                    {"why", why},
                    {"bytes", std::to_string(bytes)},
                    {"after_ms", std::to_string(took)},
                    {"failures", std::to_string(by.lines.failed_in_row())},
                    {"revision", std::to_string(mirror.revision())}});
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
    std::size_t pulls{0};
};

} // namespace coursejunction

#endif

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
#include "coursejunction/fleet/fetch_schedule.hpp"
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
    std::function<hall_fetch_state()> fetch_state;
    std::function<void(const message::mirror_page&, const std::string& from)>
        page_received;
    std::function<void()> started; /*!< Fetches for its hall from now on. */
};

/*! @brief Pulls pages. A peer of the own hall is asked at once; over the links
 * between halls one process at a time fetches for its hall. */
class mirror_puller
{
public:
    static constexpr std::string_view target_prefix = "/mirror?after=";

    /*! @brief How long peers of the own hall have to tell what one of another
     * hall already told. */
    static constexpr milliseconds local_grace{80};

    /*! @brief Pause before a process that waits for its turn looks again. */
    static constexpr milliseconds recheck_interval{50};

    /*! @brief Longest silence of a peer while a page comes; a link that is full
     * keeps a packet for some 200 ms. The whole may take as long as it moves:
     * under a limit of 2 s for the whole, pages of 1.7 MB never ended. */
    static constexpr milliseconds stall_timeout{700};

    /*! @brief Time for a connection: soon enough to leave a peer that is cut
     * off, and longer after each failure, as it may be the link that is full.
     */
    static constexpr milliseconds min_connect_timeout{250};
    static constexpr milliseconds max_connect_timeout{1000};

    /*! @brief A pull that lasts this long may come over a squeezed link, where
     * it moves and does not end: another peer of the own hall is asked beside
     * it. A packed page takes 0.2 s over 7.6 Mbit/s. */
    static constexpr milliseconds hedge_delay{800};

    /*! @brief Pulls of one kind at once; the first goes on, as all links may
     * be slow. */
    static constexpr std::size_t max_parallel_pulls = 2;

    /*! @param seed Spreads the pauses of processes that fail together. */
    mirror_puller(event_loop& owner, stream_client& client, metrics& counted,
                  const store_mirror& held, const peer_directory& known,
                  std::uint64_t seed)
        : loop(owner), calls(client), counters(counted), mirror(held),
          directory(known), local(seed), remote(~seed), pull_count(seed)
    {
    }

    /*! @param port `:PORT` of the peers. */
    void start(hall_id own, std::string port, mirror_puller_hooks given)
    {
        hall = std::move(own);
        port_suffix = std::move(port);
        hooks = std::move(given);
    }

    /*! @brief A peer tells that it knows more. */
    void peer_ahead(const std::string& from, bool same_hall)
    {
        const auto now = event_loop::now();
        if (same_hall)
            return pull_local(from, now);
        remote.schedule.set_needed(true, now);
        if (!check_pending && (remote.active.empty() || may_hedge_remote(now)))
            schedule_check(local_grace);
    }

    /*! @brief Tells whether a page of another hall is under way that this
     * process still lacks. */
    [[nodiscard]] bool fetching() const
    {
        return std::any_of(remote.active.begin(), remote.active.end(),
                           [this](const open_pull& one)
                           { return one.expected > mirror.position(); });
    }

private:
    /*! @brief A page that is under way. */
    struct open_pull
    {
        std::string from;
        stream_client::call_id call{0};
        store_position expected; /*!< What the peer knew when it was asked. */
        time_point began{};
    };

    /*! @brief Pulls from one kind of peers, a second one only beside one that
     * lasts. */
    struct pull_group
    {
        explicit pull_group(std::uint64_t seed) : schedule(seed) {}

        [[nodiscard]] bool pulls_from(const std::string& peer) const
        {
            return std::any_of(active.begin(), active.end(),
                               [&](const open_pull& one)
                               { return one.from == peer; });
        }

        [[nodiscard]] bool may_hedge(milliseconds wait, time_point now) const
        {
            return !active.empty() && active.size() < max_parallel_pulls &&
                   now - active.back().began >= wait;
        }

        fetch_schedule schedule;
        std::vector<open_pull> active;
    };

    void pull_local(const std::string& from, time_point now)
    {
        if (local.may_hedge(hedge_delay, now) && !local.pulls_from(from))
            return pull(local, from, "near");
        if (!local.active.empty())
            return;
        local.schedule.set_needed(true, now);
        if (local.schedule.due({}, now))
            pull(local, from, "near");
    }

    /*! @brief Tells whether a peer of another hall is asked beside one that
     * lasts: others of the hall do so in their turn, if there are any. */
    [[nodiscard]] bool may_hedge_remote(time_point now) const
    {
        return remote.may_hedge(fetch_schedule::second_fetch_delay, now) &&
               directory.has_no_live_peer(hall, now);
    }

    void schedule_check(milliseconds wait)
    {
        check_pending = true;
        check_timer = loop.after(wait,
                                 [this]
                                 {
                                     check_pending = false;
                                     check_remote();
                                 });
    }

    void check_remote()
    {
        const auto now = event_loop::now();
        auto from = directory.find_peer_ahead(mirror.position(), hall, false,
                                              pull_count, now);
        remote.schedule.set_needed(!from.empty(), now);
        const bool hedging = may_hedge_remote(now);
        if (hedging && remote.pulls_from(from))
            from = directory.find_peer_ahead(mirror.position(), hall, false,
                                             pull_count + 1, now);
        if (from.empty() || remote.pulls_from(from) ||
            (!remote.active.empty() && !hedging))
            return;
        if (!hedging && !remote.schedule.due(hooks.fetch_state(), now))
            return schedule_check(recheck_interval);
        pull(remote, from, "far");
        hooks.started();
    }

    void pull(pull_group& by, const std::string& from, const char* where)
    {
        ++pull_count;
        counters.count("fleet_mirror_pulls_total", 1, {{"from", where}});
        stream_call call;
        call.address = from + port_suffix;
        call.target = std::string(target_prefix) + mirror.position().text();
        call.connect_time = connect_timeout(by);
        call.stall_time = stall_timeout;
        const auto* peer = directory.find(from);
        open_pull made{from, 0,
                       peer ? peer->last_heartbeat.mirrored : store_position{},
                       event_loop::now()};
        made.call =
            calls.gather(std::move(call),
                         [this, &by, from, where, began = made.began](
                             const stream_client::answer& answer)
                         {
                             std::erase_if(by.active, [&](const open_pull& one)
                                           { return one.from == from; });
                             on_pulled(by, from, where, began, answer);
                         });
        by.active.push_back(std::move(made));
    }

    /*! @brief Ends pulls whose pages would tell nothing new. */
    void cancel_outdated(pull_group& by)
    {
        std::erase_if(by.active,
                      [this](const open_pull& one)
                      {
                          if (one.expected > mirror.position())
                              return false;
                          calls.cancel(one.call);
                          return true;
                      });
    }

    static milliseconds connect_timeout(const pull_group& by)
    {
        const auto failures =
            static_cast<std::int64_t>(by.schedule.consecutive_failures());
        return std::min(min_connect_timeout * (failures + 1),
                        max_connect_timeout);
    }

    void on_pulled(pull_group& by, const std::string& from, const char* where,
                   time_point began, const stream_client::answer& answer)
    {
        counters.count("fleet_mirror_pull_bytes_total",
                       static_cast<double>(answer.body.size()),
                       {{"from", where}});
        auto page = decode_page(answer);
        if (!page)
            return on_pull_failed(by, from, where, began, page.error().message,
                                  answer.body.size());
        by.schedule.record_success();
        hooks.page_received(page.value(), from);
        cancel_outdated(local);
        cancel_outdated(remote);
        if (&by == &remote)
            check_remote();
    }

    void on_pull_failed(pull_group& by, const std::string& from,
                        const char* where, time_point began,
                        const std::string& why, std::size_t bytes)
    {
        const auto now = event_loop::now();
        by.schedule.record_failure(now);
        counters.count("fleet_mirror_pull_failures_total", 1,
                       {{"from", where}});
        const auto took =
            std::chrono::duration_cast<milliseconds>(now - began).count();
        log::state(
            "mirror_pull_failed",
            {{"peer", from},
             {"why", why},
             {"bytes", std::to_string(bytes)},
             {"after_ms", std::to_string(took)},
             {"failures", std::to_string(by.schedule.consecutive_failures())},
             {"revision", mirror.position().text()}});
        if (&by == &remote && !check_pending)
            schedule_check(recheck_interval);
    }

    static result<message::mirror_page>
    decode_page(const stream_client::answer& answer)
    {
        if (!answer.is(200))
            return failure(error_kind::unavailable, answer.why);
        auto page = decode<message::mirror_page>(answer.body);
        if (!page)
            return page;
        return unpack_page(std::move(page.value()));
    }

    event_loop& loop;
    stream_client& calls;
    metrics& counters;
    const store_mirror& mirror;
    const peer_directory& directory;
    hall_id hall;
    std::string port_suffix;
    mirror_puller_hooks hooks;
    pull_group local;
    pull_group remote;
    timer check_timer;
    bool check_pending{false};
    std::size_t
        pull_count; /*!< Begins anywhere, so that not all ask the same. */
};

} // namespace coursejunction

#endif

/*! @file
 * @brief Pulls changes of the platform's store from peers whose mirror is
 * ahead.
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

/*! @brief Callbacks of a `mirror_puller`. */
struct mirror_puller_hooks
{
    std::function<hall_fetch_state()> fetch_state;
    std::function<void(const message::mirror_page&, const std::string& from)>
        page_received;
    std::function<void()> started; /*!< A pull from another hall begins, on
                                      behalf of the own hall. */
};

/*! @brief Pulls pages of the mirror. A peer of the own hall is asked
 * immediately. Over the links between halls, the processes of a hall take
 * turns. */
class mirror_puller
{
public:
    static constexpr std::string_view target_prefix = "/mirror?after=";

    /*! @brief Follows the position in requests of processes that understand
     * `message::page_extent`; others ignore it. */
    static constexpr std::string_view extent_suffix = "&extent=1";

    /*! @brief How long to wait for peers of the own hall to get what a peer of
     * another hall already has. */
    static constexpr milliseconds local_grace{80};

    /*! @brief Interval at which a process that waits for its turn checks again.
     */
    static constexpr milliseconds recheck_interval{50};

    /*! @brief A pull without any data for this long is aborted. A saturated
     * link delays a packet by about 200 ms. The pull as a whole has no limit:
     * with one of 2 s, pulls of 1.7 MB never finished. */
    static constexpr milliseconds stall_timeout{700};

    /*! @brief Connect timeout. It starts short, so that a peer that is cut off
     * is soon given up, and grows with each failure, since the link may only be
     * saturated. */
    static constexpr milliseconds min_connect_timeout{250};
    static constexpr milliseconds max_connect_timeout{1000};

    /*! @brief A pull that takes this long may run over a throttled link, where
     * it progresses without finishing: a second one from another peer of the
     * own hall is started in addition to it. A compressed page takes 0.2 s
     * over 7.6 Mbit/s. */
    static constexpr milliseconds hedge_delay{800};

    /*! @brief Concurrent pulls of each group (own hall, other halls). The first
     * is not cancelled, as all links may be slow. */
    static constexpr std::size_t max_parallel_pulls = 2;

    /*! @param seed Seed of the jitter, so that processes that fail together do
     * not retry together. */
    mirror_puller(event_loop& owner, stream_client& client, metrics& counted,
                  const store_mirror& held, const peer_directory& known,
                  std::uint64_t seed)
        : loop(owner), calls(client), counters(counted), mirror(held),
          directory(known), local(seed), remote(~seed), tie_breaker(seed)
    {
    }

    /*! @brief Sets the own hall and the callbacks.
     * @param port Port of the peers as `:PORT`. */
    void start(hall_id own, std::string port, mirror_puller_hooks given)
    {
        hall = std::move(own);
        port_suffix = std::move(port);
        hooks = std::move(given);
    }

    /*! @brief Handles a heartbeat of a peer whose mirror is ahead. */
    void peer_ahead(const std::string& from, bool same_hall)
    {
        const auto now = event_loop::now();
        if (same_hall)
            return pull_local(from, now);
        remote.schedule.set_needed(true, now);
        if (!check_pending && (remote.pending.empty() || may_hedge_remote(now)))
            schedule_check(local_grace);
    }

    /*! @brief Returns whether a pull from another hall is pending that this
     * process still needs. */
    [[nodiscard]] bool fetching() const
    {
        return std::any_of(remote.pending.begin(), remote.pending.end(),
                           [this](const pending_pull& each)
                           { return each.expected > mirror.position(); });
    }

private:
    /*! @brief A pending pull. */
    struct pending_pull
    {
        std::string from;
        stream_client::call_id call{0};
        /*! @brief Position of the peer's mirror when the pull began. */
        store_position expected;
        time_point began{};
    };

    /*! @brief Pulls from one group of peers. A second one begins only in
     * addition to one that takes long (hedging). */
    struct pull_group
    {
        explicit pull_group(std::uint64_t seed) : schedule(seed) {}

        [[nodiscard]] bool pulls_from(const std::string& peer) const
        {
            return std::any_of(pending.begin(), pending.end(),
                               [&](const pending_pull& each)
                               { return each.from == peer; });
        }

        [[nodiscard]] bool may_hedge(milliseconds wait, time_point now) const
        {
            return !pending.empty() && pending.size() < max_parallel_pulls &&
                   now - pending.back().began >= wait;
        }

        fetch_schedule schedule;
        std::vector<pending_pull> pending;
    };

    void pull_local(const std::string& from, time_point now)
    {
        if (local.may_hedge(hedge_delay, now) && !local.pulls_from(from))
            return pull(local, from, "near");
        if (!local.pending.empty())
            return;
        local.schedule.set_needed(true, now);
        if (local.schedule.due({}, now))
            pull(local, from, "near");
    }

    /*! @brief Returns whether to start a second pull from another hall in
     * addition to a slow one. Only a process that is alone in its hall does so;
     * otherwise the next in rank begins one. */
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
                                              tie_breaker, now);
        remote.schedule.set_needed(!from.empty(), now);
        const bool hedging = may_hedge_remote(now);
        if (hedging && remote.pulls_from(from))
            from = directory.find_peer_ahead(mirror.position(), hall, false,
                                             tie_breaker + 1, now);
        if (from.empty() || remote.pulls_from(from) ||
            (!remote.pending.empty() && !hedging))
            return;
        if (!hedging && !remote.schedule.due(hooks.fetch_state(), now))
            return schedule_check(recheck_interval);
        pull(remote, from, "far");
        hooks.started();
    }

    void pull(pull_group& group, const std::string& from, const char* where)
    {
        ++tie_breaker;
        counters.count("fleet_mirror_pulls_total", 1, {{"from", where}});
        stream_call call;
        call.address = from + port_suffix;
        call.target = std::string(target_prefix) + mirror.position().text() +
                      std::string(extent_suffix);
        call.connect_time = connect_timeout(group);
        call.stall_time = stall_timeout;
        const auto* peer = directory.find(from);
        pending_pull started{
            from, 0, peer ? peer->last_heartbeat.mirrored : store_position{},
            event_loop::now()};
        started.call = calls.gather(
            std::move(call),
            [this, &group, from, where,
             began = started.began](const stream_client::answer& answer)
            {
                std::erase_if(group.pending, [&](const pending_pull& other)
                              { return other.from == from; });
                on_pulled(group, from, where, began, answer);
            });
        group.pending.push_back(std::move(started));
    }

    /*! @brief Cancels pulls from peers that the mirror has caught up with. */
    void cancel_outdated(pull_group& group)
    {
        std::erase_if(group.pending,
                      [this](const pending_pull& each)
                      {
                          if (each.expected > mirror.position())
                              return false;
                          calls.cancel(each.call);
                          return true;
                      });
    }

    static milliseconds connect_timeout(const pull_group& group)
    {
        const auto failures =
            static_cast<std::int64_t>(group.schedule.consecutive_failures());
        return std::min(min_connect_timeout * (failures + 1),
                        max_connect_timeout);
    }

    void on_pulled(pull_group& group, const std::string& from,
                   const char* where, time_point began,
                   const stream_client::answer& answer)
    {
        counters.count("fleet_mirror_pull_bytes_total",
                       static_cast<double>(answer.body.size()),
                       {{"from", where}});
        auto page = decode_page(answer);
        if (!page)
            return on_pull_failed(group, from, where, began,
                                  page.error().message, answer.body.size());
        if (&group == &remote)
            log_remote_pull(from, began, answer.body.size());
        group.schedule.record_success();
        hooks.page_received(page.value(), from);
        cancel_outdated(local);
        cancel_outdated(remote);
        if (&group == &remote)
            check_remote();
    }

    void on_pull_failed(pull_group& group, const std::string& from,
                        const char* where, time_point began,
                        const std::string& why, std::size_t bytes)
    {
        const auto now = event_loop::now();
        group.schedule.record_failure(now);
        counters.count("fleet_mirror_pull_failures_total", 1,
                       {{"from", where}});
        const auto took =
            std::chrono::duration_cast<milliseconds>(now - began).count();
        log::state("mirror_pull_failed",
                   {{"peer", from},
                    {"why", why},
                    {"bytes", std::to_string(bytes)},
                    {"after_ms", std::to_string(took)},
                    {"failures",
                     std::to_string(group.schedule.consecutive_failures())},
                    {"revision", mirror.position().text()}});
        if (&group == &remote && !check_pending)
            schedule_check(recheck_interval);
    }

    /*! @brief Logs how long a page from another hall took and how many pulls
     * failed before it. */
    void log_remote_pull(const std::string& from, time_point began,
                         std::size_t bytes) const
    {
        const auto took =
            std::chrono::duration_cast<milliseconds>(event_loop::now() - began);
        log::state("mirror_pulled",
                   {{"peer", from},
                    {"bytes", std::to_string(bytes)},
                    {"after_ms", std::to_string(took.count())},
                    {"failures",
                     std::to_string(remote.schedule.consecutive_failures())},
                    {"revision", mirror.position().text()}});
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
    /*! @brief Incremented with each pull; starts at the seed, so that processes
     * choose different peers. */
    std::size_t tie_breaker;
};

} // namespace coursejunction

#endif

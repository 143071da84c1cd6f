/*! @file
 * @brief Reads the platform's store for this process's mirror.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_READER_HPP
#define COURSEJUNCTION_FLEET_STORE_READER_HPP

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/fleet/fetch_schedule.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/store_outage.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction
{

/*! @brief Keys that a store showed, as of a position; all of its era. */
struct store_page
{
    store_mirror::items items;
    store_position position;
};

/*! @brief Reads the platform's store; answers come on the loop's thread. An
 * error `not_found` of a watch says that its history is gone. */
template <typename Store>
concept Readable_store = requires(Store& store, std::uint64_t after,
                                  milliseconds wait,
                                  std::function<void(result<store_page>)> done)
{
    store.list(done);
    store.watch(after, wait, done);
    store.cancel(); /*!< Ends the call under way; it is not answered. */
    /*! Time that a connection takes; zero when not known. */
    {
        store.distance()
        } -> std::convertible_to<std::chrono::microseconds>;
};

/*! @brief What a `store_reader` needs of its process. */
struct store_reader_hooks
{
    /*! @brief Whether this process is among those that read the store. */
    std::function<bool()> should_watch;
    /*! @brief Changes came, or the whole store. */
    std::function<void(const store_page&, bool whole)> page_received;
    std::function<void()> started; /*!< Reads for its hall from now on. */
};

/*! @brief Watches the store. It goes on after the position of the mirror,
 * whoever brought it that far: the whole store is listed only by a process that
 * knows nothing, whose revision the store has forgotten, or whose watch brings
 * more than a listing would.
 * @tparam Store A `Readable_store`. */
template <typename Store>
class store_reader
{
public:
    /*! @brief How long one watch waits. A watch that hangs on a dead
     * connection is noticed this late, and a change has 2 s to be in force
     * once the store has been calm for 3 s. */
    static constexpr milliseconds watch_wait{1500};

    /*! @brief How long the first watch waits, so that one that gets through
     * tells so at once. */
    static constexpr milliseconds probe_wait{100};

    /*! @brief Pause between two watches, so that changes that come together
     * cost one call; a leaving upstream has 2 s. */
    static constexpr milliseconds watch_pause{100};

    /*! @brief Longest answer of a watch beyond its wait. It holds every value
     * that was written since: after some twenty changes of 2 MB it filled a
     * link of 24 Mbit/s for 15 s. A listing holds the last ones only. */
    static constexpr milliseconds watch_overrun_limit{1200};

    /*! @brief A listing that lasts this long is given up when peers have told
     * more meanwhile; otherwise it goes on, however large it is. */
    static constexpr milliseconds listing_time_limit{2500};

    /*! @param seed Spreads the pauses of processes that fail together. */
    store_reader(event_loop& owner, Store& service, metrics& counted,
                 const store_mirror& held, std::uint64_t seed)
        : loop(owner), store(service), counters(counted), mirror(held),
          schedule(seed)
    {
    }

    void start(store_reader_hooks given) { hooks = std::move(given); }

    /*! @brief Begins to read when it is this process's turn. */
    void poll(const hall_fetch_state& hall, time_point now)
    {
        if (busy)
            return cancel_slow_call(now);
        schedule.set_needed(hooks.should_watch(), now);
        if (schedule.due(hall, now))
            begin(hall);
    }

    /*! @brief Tells whether the store answers and is watched. */
    [[nodiscard]] bool watching() const noexcept { return reachable && busy; }

    /*! @brief Tells whether the whole store is on its way. */
    [[nodiscard]] bool fetching() const noexcept { return listing; }

    /*! @brief Tells whether a first call for news only is under way. */
    [[nodiscard]] bool probing() const noexcept
    {
        return busy && !reachable && !listing;
    }

    /*! @brief Returns how often changes may have been missed: only the last
     * write of each key is seen after a gap. */
    [[nodiscard]] std::uint64_t gaps() const noexcept { return gap_count; }

    /*! @brief Tells whether an outage of the store ended just now. */
    [[nodiscard]] bool outage_recently_ended(time_point now) const
    {
        return outage.recently_ended(now);
    }

private:
    void begin(const hall_fetch_state& hall)
    {
        busy = true;
        listing = mirror.position() <= history_gone_until;
        log::state(
            "store_read_begun",
            {{"revision", mirror.position().text()},
             {"rank", std::to_string(hall.rank)},
             {"failures", std::to_string(schedule.consecutive_failures())}});
        hooks.started();
        if (listing)
            list();
        else
            watch(probe_wait);
    }

    void list()
    {
        begin_call("list");
        store.list(
            [this](result<store_page> answer)
            {
                listing = false;
                call_pending = false;
                if (!answer)
                    return record_failure("list", answer.error().message);
                if (answer.value().position.era < mirror.position().era)
                    return record_failure("list",
                                          "an earlier era of the store");
                record_success();
                hooks.page_received(answer.value(), true);
                watch(watch_wait);
            });
    }

    void watch(milliseconds wait)
    {
        watch_timeout = wait;
        begin_call("watch");
        store.watch(mirror.position().revision, wait,
                    [this](result<store_page> answer)
                    {
                        call_pending = false;
                        if (!answer)
                            return on_watch_failed(answer.error());
                        if (answer.value().position.era != call_position.era)
                            return on_era_changed(answer.value().position);
                        record_success();
                        consecutive_history_losses = 0;
                        hooks.page_received(answer.value(), false);
                        continue_watching(!answer.value().items.empty());
                    });
    }

    /*! @brief Watches on, or leaves it to others.
     * @param changed Whether more changes may follow at once. */
    void continue_watching(bool changed)
    {
        if (!hooks.should_watch())
        {
            // Whether the store can be reached when it is wanted again is not
            // known: others must not count on this process before.
            busy = false;
            reachable = false;
            return;
        }
        if (!changed)
            return watch(watch_wait);
        pause = loop.after(watch_pause, [this] { watch(watch_wait); });
    }

    /*! @brief The store came back from an older copy: what changed since a
     * revision of the earlier era says nothing of what it lost. */
    void on_era_changed(store_position now_at)
    {
        if (now_at.era < call_position.era)
            return record_failure("watch", "an earlier era of the store");
        history_gone_until = call_position;
        ++gap_count;
        log::warning("store_era_changed", {{"before", call_position.text()},
                                           {"now", now_at.text()}});
        counters.count("store_eras_total");
        busy = false;
        reachable = false;
    }

    void on_watch_failed(const error& why)
    {
        if (why.kind != error_kind::not_found)
            return record_failure("watch", why.message);
        // One of the hall lists the store anew; those whose mirror it brings
        // past this revision watch on from there.
        history_gone_until = mirror.position();
        ++gap_count;
        log::warning("store_history_gone",
                     {{"revision", history_gone_until.text()}});
        busy = false;
        reachable = false;
        // The history may be gone again by the end of each listing.
        if (++consecutive_history_losses > 1)
            schedule.record_failure(event_loop::now());
    }

    void record_failure(const std::string& call, const std::string& why)
    {
        const auto now = event_loop::now();
        busy = false;
        reachable = false;
        ++gap_count;
        outage.record_failure(now);
        schedule.record_failure(now);
        counters.count("store_failures_total", 1, {{"call", call}});
        log::warning(
            "store_lost",
            {{"call", call},
             {"why", why},
             {"failures", std::to_string(schedule.consecutive_failures())},
             {"after_ms", std::to_string(elapsed_ms(call_began, now))},
             {"revision", mirror.position().text()}});
    }

    void record_success()
    {
        outage.record_success(event_loop::now());
        schedule.record_success();
        if (reachable)
            return;
        reachable = true;
        log::state("store_reached",
                   {{"revision", mirror.position().text()},
                    {"distance_us", std::to_string(distance_us())}});
    }

    /*! @brief Ends a call that costs more than another one: the next turn goes
     * on from where peers brought the mirror, or lists where they did not. */
    void cancel_slow_call(time_point now)
    {
        const bool mirror_advanced = mirror.position() > call_position;
        const auto limit =
            listing ? listing_time_limit : watch_timeout + watch_overrun_limit;
        if (!call_pending || now - call_began < limit ||
            (listing && !mirror_advanced))
            return;
        store.cancel();
        call_pending = false;
        listing = false;
        busy = false;
        reachable = false;
        if (!mirror_advanced)
        {
            history_gone_until = mirror.position();
            ++gap_count;
        }
        counters.count("store_calls_given_up_total");
        log::state("store_call_given_up",
                   {{"began_at", call_position.text()},
                    {"revision", mirror.position().text()}});
    }

    void begin_call(const std::string& call)
    {
        call_began = event_loop::now();
        call_position = mirror.position();
        call_pending = true;
        counters.count("store_calls_total", 1, {{"call", call}});
    }

    [[nodiscard]] std::int64_t distance_us() const
    {
        return std::chrono::microseconds(store.distance()).count();
    }

    static std::int64_t elapsed_ms(time_point from, time_point now)
    {
        return std::chrono::duration_cast<milliseconds>(now - from).count();
    }

    event_loop& loop;
    Store& store;
    metrics& counters;
    const store_mirror& mirror;
    store_reader_hooks hooks;
    fetch_schedule schedule;
    store_outage outage;
    timer pause;
    time_point call_began{};       /*!< When the last call began. */
    store_position call_position;  /*!< Position at that moment. */
    milliseconds watch_timeout{0}; /*!< What the last watch waits. */
    bool call_pending{false};      /*!< That call has not ended. */
    store_position
        history_gone_until; /*!< No watch goes on from here or before. */
    bool reachable{false};  /*!< The last call was answered. */
    bool busy{false};       /*!< A call or a pause of the watch runs. */
    bool listing{false};    /*!< The call lists the whole store. */
    std::size_t consecutive_history_losses{
        0};                     /*!< Watches whose history was gone. */
    std::uint64_t gap_count{0}; /*!< Gaps in what was heard. */
};

} // namespace coursejunction

#endif

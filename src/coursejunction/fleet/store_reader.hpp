/*! @file
 * @brief Reads the platform's store into this process's mirror.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_READER_HPP
#define COURSEJUNCTION_FLEET_STORE_READER_HPP

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
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

/*! @brief Keys read from the store; all positions are of the same era. */
struct store_page
{
    store_mirror::items items;
    store_position position;
};

/*! @brief Client of the platform's store. The callbacks run on the event loop's
 * thread. A watch fails with `not_found` if the store no longer has the history
 * after the given revision. */
template <typename Store>
concept Readable_store = requires(Store& store, std::uint64_t after,
                                  milliseconds wait,
                                  std::function<void(result<store_page>)> done)
{
    store.list(done);
    store.watch(after, wait, done);
    store.cancel(); /*!< Cancels the pending call; its callback is not run. */
    /*! Time to open a connection; zero if unknown. */
    {
        store.distance()
        } -> std::convertible_to<std::chrono::microseconds>;
};

/*! @brief Callbacks of a `store_reader`. */
struct store_reader_hooks
{
    /*! @brief Returns whether this process should watch the store. */
    std::function<bool()> should_watch;
    /*! @brief Receives changes, or all keys if `whole`. */
    std::function<void(const store_page&, bool whole)> page_received;
    std::function<void()> started; /*!< A call on behalf of the hall begins. */
};

/*! @brief Watches the store. Each watch continues from the position of the
 * mirror, whether it got there from the store or from peers. All keys are
 * listed only if the mirror is empty, if the store has dropped the history
 * after the mirror's position, or if a watch returns more than a listing would.
 * @tparam Store A `Readable_store`. */
template <typename Store>
class store_reader
{
public:
    /*! @brief How long one watch waits for a change. A watch on a dead
     * connection is noticed only after this time, and a change must take effect
     * within 2 s once the store has been available for 3 s. */
    static constexpr milliseconds watch_wait{1500};

    /*! @brief How long the first watch waits, so that a reachable store is
     * noticed immediately. */
    static constexpr milliseconds probe_wait{100};

    /*! @brief Pause between two watches, so that changes in quick succession
     * cost one call. It is short: a leaving upstream is unavailable after 2 s.
     */
    static constexpr milliseconds watch_pause{100};

    /*! @brief A watch that takes this much longer than its wait is cancelled.
     * Its answer holds every value written since its start: after some twenty
     * changes of 2 MB it filled a 24 Mbit/s link for 15 s. A listing holds only
     * the last value of each key. */
    static constexpr milliseconds watch_overrun_limit{1200};

    /*! @brief A listing that takes longer is cancelled if the mirror has
     * advanced from peers meanwhile. Otherwise it continues, however large it
     * is. */
    static constexpr milliseconds listing_time_limit{2500};

    /*! @param seed Seed of the jitter, so that processes that fail together do
     * not retry together. */
    store_reader(event_loop& owner, Store& platform_store, metrics& counted,
                 const store_mirror& held, std::uint64_t seed)
        : loop(owner), store(platform_store), counters(counted), mirror(held),
          schedule(seed)
    {
    }

    void start(store_reader_hooks given) { hooks = std::move(given); }

    /*! @brief Begins to read if it is this process's turn, and cancels a call
     * that takes too long; called at each regular heartbeat. */
    void poll(const hall_fetch_state& hall, time_point now)
    {
        if (busy)
            return cancel_slow_call(now);
        schedule.set_needed(listing_requested || hooks.should_watch(), now);
        if (schedule.due(hall, now))
            begin(hall);
    }

    /*! @brief Lists all keys at this process's next turn, even if it does not
     * watch the store. The request ends with the first call that fails. */
    void request_listing() { listing_requested = true; }

    /*! @brief Returns whether the store answered the last call and is being
     * watched. */
    [[nodiscard]] bool watching() const noexcept { return reachable && busy; }

    /*! @brief Returns whether a listing of all keys is pending. */
    [[nodiscard]] bool fetching() const noexcept { return listing; }

    /*! @brief Returns whether a first watch is pending and the store has not
     * answered yet. */
    [[nodiscard]] bool probing() const noexcept
    {
        return busy && !reachable && !listing;
    }

    /*! @brief Returns how often changes may have been missed: after a gap only
     * the last write of each key is seen. */
    [[nodiscard]] std::uint64_t gaps() const noexcept { return gap_count; }

    /*! @brief Returns until when records that are missing now may come back
     * after an outage of the store; nothing if none ended recently. */
    [[nodiscard]] std::optional<time_point> lapse_deadline(time_point now) const
    {
        return outage.lapse_deadline(now);
    }

    /*! @brief Records that the store answered a peer again after an outage. */
    void peer_reached_store(time_point at)
    {
        if (outage.record_peer_return(at))
            log_outage_end("peer");
    }

private:
    void begin(const hall_fetch_state& hall)
    {
        busy = true;
        // Also true for an empty mirror: both positions are zero.
        listing = listing_requested || mirror.position() <= history_gone_until;
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
                    return record_failure(
                        "list", "the store answered from an earlier era");
                record_success();
                const bool was_requested =
                    std::exchange(listing_requested, false);
                hooks.page_received(answer.value(), true);
                if (was_requested)
                    return continue_watching(false);
                watch(watch_wait);
            });
    }

    void watch(milliseconds wait)
    {
        current_wait = wait;
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

    /*! @brief Begins the next watch, or stops if others watch the store
     * instead.
     * @param changed Whether the last watch brought changes, so that more may
     * follow immediately. */
    void continue_watching(bool changed)
    {
        if (listing_requested)
        {
            busy = false;
            return;
        }
        if (!hooks.should_watch())
        {
            // Whether the store can still be reached is unknown when this
            // process is next to watch it; until then it must not report that
            // it does.
            busy = false;
            reachable = false;
            return;
        }
        if (!changed)
            return watch(watch_wait);
        pause = loop.after(watch_pause, [this] { watch(watch_wait); });
    }

    /*! @brief Handles a rollback of the store. Changes after a revision of the
     * earlier era do not show what was lost, so the store is listed again. */
    void on_era_changed(store_position new_position)
    {
        if (new_position.era < call_position.era)
            return record_failure("watch",
                                  "the store answered from an earlier era");
        history_gone_until = call_position;
        ++gap_count;
        log::warning("store_era_changed", {{"before", call_position.text()},
                                           {"now", new_position.text()}});
        counters.count("store_eras_total");
        busy = false;
        reachable = false;
    }

    void on_watch_failed(const error& why)
    {
        if (why.kind != error_kind::not_found)
            return record_failure("watch", why.message);
        // One process of the hall lists the store again. Those whose mirror it
        // advances beyond this position continue to watch from there.
        history_gone_until = mirror.position();
        ++gap_count;
        log::warning("store_history_gone",
                     {{"revision", history_gone_until.text()}});
        busy = false;
        reachable = false;
        // The store may drop its history again before each listing ends, so
        // listings back off.
        if (++consecutive_history_losses > 1)
            schedule.record_failure(event_loop::now());
    }

    void record_failure(const std::string& call, const std::string& why)
    {
        const auto now = event_loop::now();
        busy = false;
        reachable = false;
        listing_requested = false;
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
        if (outage.record_success(event_loop::now()))
            log_outage_end("call");
        schedule.record_success();
        if (reachable)
            return;
        reachable = true;
        log::state("store_reached",
                   {{"revision", mirror.position().text()},
                    {"distance_us", std::to_string(distance_us())}});
    }

    void log_outage_end(const std::string& known_by) const
    {
        log::state(
            "store_outage_ended",
            {{"known_by", known_by}, {"revision", mirror.position().text()}});
    }

    /*! @brief Cancels a call that costs more than its alternative. The next
     * call watches from the position to which peers have advanced the mirror,
     * or lists all keys if they have not. A listing that was requested goes on,
     * since the mirror may be wrong. */
    void cancel_slow_call(time_point now)
    {
        const bool mirror_advanced = mirror.position() > call_position;
        const auto limit =
            listing ? listing_time_limit : current_wait + watch_overrun_limit;
        if (!call_pending || now - call_began < limit ||
            (listing && (!mirror_advanced || listing_requested)))
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
    time_point call_began{};      /*!< When the last call began. */
    store_position call_position; /*!< Position of the mirror at that time. */
    /*! @brief How long the last watch waits for a change. */
    milliseconds current_wait{0};
    bool call_pending{false}; /*!< The last call has not ended. */
    /*! @brief Up to here the store has no history; no watch may continue from
     * such a position. */
    store_position history_gone_until;
    bool reachable{false}; /*!< The last call was answered. */
    /*! @brief A call or the pause between two watches is pending. */
    bool busy{false};
    bool listing{false};           /*!< The pending call lists all keys. */
    bool listing_requested{false}; /*!< The next call has to list all keys. */
    /*! @brief Consecutive watches whose history was no longer available. */
    std::size_t consecutive_history_losses{0};
    std::uint64_t gap_count{0}; /*!< How often changes may have been missed. */
};

} // namespace coursejunction

#endif

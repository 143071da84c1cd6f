#include "coursejunction/fleet/fetch_schedule.hpp"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("the processes of a hall take turns at a shared link", "[fleet]")
{
    cj::fetch_schedule schedule;
    const cj::time_point now{100s};

    GIVEN("nothing to fetch")
    {
        CHECK_FALSE(schedule.due({}, now));
    }
    GIVEN("something to fetch")
    {
        schedule.set_needed(true, now);
        THEN("the first in rank begins at once, the third two delays later")
        {
            CHECK(schedule.due({0, 0}, now));
            CHECK_FALSE(schedule.due({2, 0}, now + 599ms));
            CHECK(schedule.due({2, 0}, now + 600ms));
        }
        THEN("a fetch by another process delays it, but not forever")
        {
            CHECK_FALSE(schedule.due({1, 1}, now));
            CHECK_FALSE(schedule.due({1, 1}, now + 1499ms));
            CHECK(schedule.due({1, 1}, now + 1500ms));
        }
        THEN("no third fetch begins beside two")
        {
            CHECK_FALSE(schedule.due({0, 2}, now + 10s));
        }
        THEN("two fetches that never end do not block the others forever")
        {
            CHECK_FALSE(schedule.due({0, 2}, now));
            CHECK_FALSE(schedule.due({0, 2}, now + 3s));
            CHECK(schedule.due({0, 2}, now + 10s));
            AND_THEN("nor do three")
            {
                CHECK_FALSE(schedule.due({0, 3}, now + 10s));
                CHECK(schedule.due({0, 3}, now + 20s));
            }
        }
        THEN("processes that waited for the same fetch start staggered")
        {
            CHECK_FALSE(schedule.due({3, 2}, now + 10s));
            CHECK_FALSE(schedule.due({3, 0}, now + 10s));
            CHECK_FALSE(schedule.due({3, 0}, now + 10s + 74ms));
            CHECK(schedule.due({3, 0}, now + 10s + 75ms));
        }
        AND_WHEN("it has arrived in another way")
        {
            schedule.set_needed(false, now + 10ms);
            CHECK_FALSE(schedule.due({}, now + 10s));
        }
        AND_WHEN("a fetch fails")
        {
            schedule.record_failure(now);
            THEN(
                "the back-off grows with each failure, up to 1.5 s with jitter")
            {
                CHECK_FALSE(schedule.due({}, now + 149ms));
                CHECK(schedule.due({}, now + 225ms));
                for (int failure = 0; failure < 20; ++failure)
                    schedule.record_failure(now);
                CHECK_FALSE(schedule.due({}, now + 999ms));
                CHECK(schedule.due({}, now + 1500ms));
            }
            THEN("the delay by rank starts again after the back-off")
            {
                CHECK_FALSE(schedule.due({1, 0}, now + 300ms));
                CHECK(schedule.due({1, 0}, now + 525ms));
            }
            AND_WHEN("the next one succeeds")
            {
                schedule.record_success();
                schedule.set_needed(true, now);
                CHECK(schedule.consecutive_failures() == 0);
                CHECK(schedule.due({}, now));
            }
        }
    }
}

namespace
{

/*! @brief Simulates a hall whose processes fetch a state over one link, in
 * virtual time. */
class hall_model
{
public:
    static constexpr std::chrono::milliseconds step{10};

    /*! @brief Time until a process of the hall learns of a change at another
     * one: a datagram and the event loop of a busy process. */
    static constexpr std::chrono::milliseconds propagation{20};

    /*! @param starts When each process starts, in ms.
     * @param state_bytes Size of the whole state.
     * @param link_rate Bytes per second of the link. */
    hall_model(const std::vector<int>& starts, double state_bytes,
               double link_rate)
        : bytes(state_bytes), rate(link_rate)
    {
        for (std::size_t at = 0; at < starts.size(); ++at)
        {
            process added{cj::fetch_schedule(at * 97)};
            added.start =
                cj::time_point{} + std::chrono::milliseconds(starts[at]);
            hall.push_back(added);
        }
    }

    /*! @brief Makes all processes know each other from the start. */
    void mark_peers_known() { known = true; }

    /*! @brief Cuts the link; pending fetches fail after their stall timeout. */
    void cut(cj::time_point from, cj::time_point until)
    {
        cut_from = from;
        cut_until = until;
    }

    /*! @brief Runs until all processes have the state.
     * @return When that was, or the limit. */
    cj::time_point run(cj::time_point limit)
    {
        for (now = {}; now < limit; now += step)
        {
            move_bytes();
            for (std::size_t at = 0; at < hall.size(); ++at)
                step_process(at);
            if (std::all_of(hall.begin(), hall.end(),
                            [](const process& one) { return one.complete; }))
                return now;
        }
        return limit;
    }

    double transferred{0};

private:
    struct process
    {
        cj::fetch_schedule schedule;
        cj::time_point start{};
        cj::time_point began{};
        cj::time_point moved{};
        double left{0};
        bool fetching{false};
        bool complete{false};
        cj::time_point completed_at{};
    };

    void move_bytes()
    {
        if (now >= cut_from && now < cut_until)
            return;
        const auto count =
            std::count_if(hall.begin(), hall.end(),
                          [](const process& one) { return one.fetching; });
        const double share = count == 0 ? 0
                                        : rate * cj::to_seconds(step) /
                                              static_cast<double>(count);
        for (auto& one : hall)
        {
            if (!one.fetching)
                continue;
            one.left -= share;
            one.moved = now;
            transferred += share;
        }
    }

    void step_process(std::size_t at)
    {
        auto& one = hall[at];
        if (one.complete || now < one.start)
            return;
        if (peer_has_state())
            return mark_complete(one);
        if (one.fetching)
            return continue_fetch(one);
        one.schedule.set_needed(true, now);
        if (!one.schedule.due(fetch_state(at), now))
            return;
        one.fetching = true;
        one.began = one.moved = now;
        one.left = bytes;
    }

    void continue_fetch(process& one)
    {
        constexpr auto stall_timeout = 700ms;
        if (one.left <= 0)
            return mark_complete(one);
        if (now - one.moved < stall_timeout)
            return;
        one.fetching = false;
        one.schedule.record_failure(now);
    }

    void mark_complete(process& one)
    {
        one.fetching = false;
        one.complete = true;
        one.completed_at = now;
    }

    [[nodiscard]] bool peer_has_state() const
    {
        return std::any_of(hall.begin(), hall.end(),
                           [&](const process& one) {
                               return one.complete &&
                                      now - one.completed_at >= propagation;
                           });
    }

    [[nodiscard]] cj::hall_fetch_state fetch_state(std::size_t at) const
    {
        cj::hall_fetch_state state;
        // The first process is a seed; new processes let it go first.
        if (!known && at > 0 && now < hall[at].start + 1s)
            state.rank = 1;
        std::size_t before = 0;
        for (std::size_t other = 0; other < hall.size(); ++other)
        {
            const auto& one = hall[other];
            if (other == at || (!known && now < one.start + propagation))
                continue;
            before += other < at ? 1 : 0;
            state.fetching +=
                one.fetching && now - one.began >= propagation ? 1 : 0;
        }
        state.rank = std::max(state.rank, before);
        return state;
    }

    std::vector<process> hall;
    bool known{false};
    double bytes;
    double rate;
    cj::time_point now{};
    cj::time_point cut_from{};
    cj::time_point cut_until{};
};

} // namespace

TEST_CASE("a hall completes its state soon after a start or a partition",
          "[fleet]")
{
    // 2.3 MB is the size of a store with 4,200 routes; the link has 24 Mbit/s.
    constexpr double bytes = 2.3e6;
    constexpr double rate = 3e6;
    const auto copy = cj::from_seconds(bytes / rate);

    rc::prop("after a start of all within 0.3 s",
             [&]
             {
                 const auto count = *rc::gen::inRange<std::size_t>(1, 25);
                 const auto starts = *rc::gen::container<std::vector<int>>(
                     count, rc::gen::inRange(0, 300));
                 hall_model hall(starts, bytes, rate);
                 // The last start, one delay by rank, and at worst a second
                 // fetch.
                 const auto bound = cj::time_point{} + 300ms +
                                    cj::fetch_schedule::rank_delay + copy * 2 +
                                    hall_model::propagation * 2;
                 RC_ASSERT(hall.run(bound + 1s) <= bound);
                 RC_ASSERT(hall.transferred <= bytes * 3);
             });

    rc::prop("after a cut of the link",
             [&]
             {
                 const auto count = *rc::gen::inRange<std::size_t>(2, 25);
                 hall_model hall(std::vector<int>(count, 0), bytes, rate);
                 hall.mark_peers_known();
                 const auto end =
                     cj::time_point{} +
                     std::chrono::milliseconds(*rc::gen::inRange(100, 20'000));
                 hall.cut(cj::time_point{}, end);
                 // At most the maximum back-off, two concurrent fetches, and
                 // for each of these a further one that began before it learned
                 // that the earlier one had ended.
                 const auto bound = end +
                                    cj::fetch_schedule::max_backoff * 3 / 2 +
                                    copy * 4 + hall_model::propagation;
                 RC_ASSERT(hall.run(bound + 10s) <= bound);
                 RC_ASSERT(hall.transferred <= bytes * 4);
             });
}

#include "coursejunction/fleet/fetch_schedule.hpp"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("processes of a hall take turns at a link", "[fleet]")
{
    cj::fetch_schedule schedule;
    const cj::time_point now{100s};

    GIVEN("nothing that is lacking")
    {
        CHECK_FALSE(schedule.due({}, now));
    }
    GIVEN("something that is lacking")
    {
        schedule.set_needed(true, now);
        THEN("the first of the hall begins at once, the third two turns later")
        {
            CHECK(schedule.due({0, 0}, now));
            CHECK_FALSE(schedule.due({2, 0}, now + 599ms));
            CHECK(schedule.due({2, 0}, now + 600ms));
        }
        THEN("while another one fetches it is waited for, but not for ever")
        {
            CHECK_FALSE(schedule.due({1, 1}, now));
            CHECK_FALSE(schedule.due({1, 1}, now + 1499ms));
            CHECK(schedule.due({1, 1}, now + 1500ms));
        }
        THEN("beside two that fetch nobody begins")
        {
            CHECK_FALSE(schedule.due({0, 2}, now + 10s));
        }
        THEN("two that never end do not keep all others away for ever")
        {
            CHECK_FALSE(schedule.due({0, 2}, now));
            CHECK_FALSE(schedule.due({0, 2}, now + 3s));
            CHECK(schedule.due({0, 2}, now + 10s));
            AND_THEN("nor does a third one")
            {
                CHECK_FALSE(schedule.due({0, 3}, now + 10s));
                CHECK(schedule.due({0, 3}, now + 20s));
            }
        }
        THEN("those that all waited for one begin one after the other")
        {
            CHECK_FALSE(schedule.due({3, 2}, now + 10s));
            CHECK_FALSE(schedule.due({3, 0}, now + 10s));
            CHECK_FALSE(schedule.due({3, 0}, now + 10s + 74ms));
            CHECK(schedule.due({3, 0}, now + 10s + 75ms));
        }
        AND_WHEN("it is there after all")
        {
            schedule.set_needed(false, now + 10ms);
            CHECK_FALSE(schedule.due({}, now + 10s));
        }
        AND_WHEN("a fetch fails")
        {
            schedule.record_failure(now);
            THEN("the next one waits, longer after each failure, up to 1.5 s")
            {
                CHECK_FALSE(schedule.due({}, now + 149ms));
                CHECK(schedule.due({}, now + 225ms));
                for (int again = 0; again < 20; ++again)
                    schedule.record_failure(now);
                CHECK_FALSE(schedule.due({}, now + 999ms));
                CHECK(schedule.due({}, now + 1500ms));
            }
            THEN("the turns begin anew")
            {
                CHECK_FALSE(schedule.due({1, 0}, now + 300ms));
                CHECK(schedule.due({1, 0}, now + 525ms));
            }
            AND_WHEN("one succeeds")
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

/*! @brief A hall whose processes fetch a state over one link, in virtual time.
 */
class hall_model
{
public:
    static constexpr std::chrono::milliseconds step{10};

    /*! @brief Until a process of the hall hears of another's news: a datagram
     * that is sent at once, and the loop of a busy process. */
    static constexpr std::chrono::milliseconds propagation{20};

    /*! @param starts When each process begins to lack the state.
     * @param state_bytes Of the whole state.
     * @param link_rate Bytes a second of the link. */
    hall_model(const std::vector<int>& starts, double state_bytes,
               double link_rate)
        : bytes(state_bytes), rate(link_rate)
    {
        for (std::size_t at = 0; at < starts.size(); ++at)
        {
            process made{cj::fetch_schedule(at * 97)};
            made.start =
                cj::time_point{} + std::chrono::milliseconds(starts[at]);
            hall.push_back(made);
        }
    }

    /*! @brief The processes knew each other before. */
    void mark_peers_known() { known = true; }

    /*! @brief Cuts the link: what is under way fails after its patience. */
    void cut(cj::time_point from, cj::time_point until)
    {
        cut_from = from;
        cut_until = until;
    }

    /*! @brief Plays until all have the state.
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
        constexpr auto patience = 700ms;
        if (one.left <= 0)
            return mark_complete(one);
        if (now - one.moved < patience)
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
        cj::hall_fetch_state made;
        // The first is a seed; the others let it go first while they are new.
        if (!known && at > 0 && now < hall[at].start + 1s)
            made.rank = 1;
        std::size_t before = 0;
        for (std::size_t other = 0; other < hall.size(); ++other)
        {
            const auto& one = hall[other];
            if (other == at || (!known && now < one.start + propagation))
                continue;
            before += other < at ? 1 : 0;
            made.fetching +=
                one.fetching && now - one.began >= propagation ? 1 : 0;
        }
        made.rank = std::max(made.rank, before);
        return made;
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

TEST_CASE("a hall is whole soon after its trouble, in whatever order it starts",
          "[fleet]")
{
    // 2.3 MB, as a store tells 4,200 routes, and a link of 24 Mbit/s.
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
                 // The last start, a turn, and at worst a second reader.
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
                 // At most the longest pause, a second reader beside the first,
                 // and for each one that began before it heard that they ended.
                 const auto bound = end +
                                    cj::fetch_schedule::max_backoff * 3 / 2 +
                                    copy * 4 + hall_model::propagation;
                 RC_ASSERT(hall.run(bound + 10s) <= bound);
                 RC_ASSERT(hall.transferred <= bytes * 4);
             });
}

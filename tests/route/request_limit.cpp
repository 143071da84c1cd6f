#include "coursejunction/route/request_limit.hpp"

#include <catch2/catch.hpp>

#include "route/limit_replay.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using limit_replay::moment;

namespace
{

std::vector<cj::entry_demand> entries_of(std::size_t count)
{
    std::vector<cj::entry_demand> result;
    for (std::size_t at = 0; at < count; ++at)
        result.push_back({cj::hall_id(at % 2 == 0 ? "a" : "b"),
                          "10.0.0." + std::to_string(at), 1});
    return result;
}

cj::limit_share share(double per_second, std::size_t entry, std::size_t count)
{
    return cj::share_of_limit(cj::instance_id("u"), cj::hall_id("a"),
                              per_second, "10.0.0." + std::to_string(entry),
                              entries_of(count));
}

} // namespace

SCENARIO("division of an upstream's rate limit between entries", "[route]")
{
    const double per_second = GENERATE(0.0, 0.3, 1.0, 2.5, 7.0, 1000.0);
    const std::size_t count = GENERATE(1U, 2U, 5U, 53U);
    double sum = 0;
    std::vector<std::size_t> standby_ranks;
    for (std::size_t at = 0; at < count; ++at)
    {
        const auto entry_share = share(per_second, at, count);
        sum += entry_share.per_second;
        if (entry_share.holds_share())
            CHECK(at % 2 == 0);
        else
            standby_ranks.push_back(entry_share.standby_rank);
    }

    THEN("all of it is assigned, to entries of the upstream's hall")
    {
        CHECK(sum == Approx(per_second));
    }
    THEN("the others are standby entries with consecutive ranks")
    {
        std::sort(standby_ranks.begin(), standby_ranks.end());
        for (std::size_t at = 0; at < standby_ranks.size(); ++at)
            CHECK(standby_ranks[at] == at + 1);
    }
    THEN("an entry that accepts no requests has no share")
    {
        const auto absent =
            cj::share_of_limit(cj::instance_id("u"), cj::hall_id("a"),
                               per_second, "", entries_of(count));
        CHECK_FALSE(absent.holds_share());
        CHECK(absent.standby_rank == cj::limit_share::may_not_send);
    }
}

SCENARIO("an entry sends at the rate of its share", "[route]")
{
    cj::request_limit limit(2, moment(0), moment(0));

    GIVEN("an entry without a share sends nothing")
    {
        CHECK(limit.next_send_at() == cj::time_point::max());
    }
    GIVEN("an entry with a share")
    {
        limit.set_share({2, 0}, moment(0));
        SECTION("its first request waits, as another entry may just have sent")
        {
            CHECK(limit.next_send_at() == moment(0.5));
        }
        SECTION("then it sends at its rate, with a burst of two at most")
        {
            limit.record_send(moment(10));
            CHECK(limit.next_send_at() <= moment(10));
            limit.record_send(moment(10));
            CHECK(limit.next_send_at() == moment(10.5));
        }
        SECTION("receiving the same share again changes nothing")
        {
            limit.record_send(moment(10));
            limit.record_send(moment(10));
            limit.set_share({2, 0}, moment(10.1));
            CHECK(limit.next_send_at() == moment(10.5));
        }
    }
    GIVEN("a standby entry")
    {
        limit.set_share({0, 2}, moment(0));
        CHECK(limit.next_send_at() == moment(6));
        SECTION("a response to a holder postpones its turn")
        {
            limit.update(2, moment(5));
            CHECK(limit.next_send_at() == moment(11));
        }
        SECTION("its turn comes again after its own request")
        {
            limit.record_send(moment(6));
            CHECK(limit.next_send_at() == moment(12));
        }
    }
    GIVEN("a limit of zero, whose end must be noticed nevertheless")
    {
        cj::request_limit none(0, moment(0), moment(0));
        none.set_share({0, 1}, moment(0));
        CHECK(none.next_send_at() == moment(30));
    }
}

SCENARIO("many entries together stay within the limit of an upstream",
         "[route][replay]")
{
    limit_replay::simulation_options options;
    options.entries = GENERATE(5U, 53U, 340U);
    // One seed of the largest size takes seconds.
    options.seed = options.entries > 53 ? 1U : GENERATE(1U, 2U, 3U);
    CAPTURE(options.entries, options.seed);

    const auto run_within_limit = [&]
    {
        const auto result =
            limit_replay::simulator<limit_replay::assigned_holders>(options)
                .run();
        CHECK(static_cast<double>(result.max_in_window) <=
              limit_replay::allowed(options.per_second));
        return result;
    };

    WHEN("no faults occur")
    {
        options.per_second = GENERATE(1.0, 6.0);
        const auto result = run_within_limit();
        THEN("the limit is used, and traffic recovers soon after its end")
        {
            CHECK(result.used_fraction > 0.6);
            CHECK(result.used_fraction < 1.5);
            CHECK(result.recovery_seconds < 3);
        }
    }
    WHEN("entries restart, stop, crash, are suspended and are disconnected")
    {
        options.restarted = 2;
        options.stopped = 1;
        options.crashed = 1;
        options.suspended = 1;
        options.disconnected = options.entries > 5 ? 3 : 0;
        CHECK(run_within_limit().used_fraction > 0.4);
    }
    WHEN("the limit is zero")
    {
        options.per_second = 0;
        run_within_limit();
    }
    WHEN("a third of the heartbeats is lost")
    {
        options.heartbeat_loss = 0.33;
        run_within_limit();
    }
}

SCENARIO("comparison of two ways to share a limit", "[.][compare]")
{
    const auto print = [](const std::string& way,
                          const limit_replay::simulation_options& options,
                          const limit_replay::simulation_result& result)
    {
        WARN(way << ", " << options.entries << " entries, limit "
                 << options.per_second << ", seed " << options.seed
                 << ": worst 4 s " << result.max_in_window << " (allowed "
                 << limit_replay::allowed(options.per_second)
                 << "), limit used " << result.used_fraction << ", unaware "
                 << result.unaware_requests << ", recovered after "
                 << result.recovery_seconds << " s");
    };
    limit_replay::simulation_options options;
    options.entries = GENERATE(5U, 53U, 340U);
    options.per_second = GENERATE(1.0, 6.0);
    options.seed = GENERATE(1U, 2U);
    const bool with_faults = GENERATE(false, true);
    if (with_faults)
    {
        options.restarted = 2;
        options.stopped = options.crashed = options.suspended = 1;
        options.disconnected = options.entries > 5 ? 3 : 0;
    }
    const std::string suffix = with_faults ? ", faults" : "";
    print(
        "assigned holders" + suffix, options,
        limit_replay::simulator<limit_replay::assigned_holders>(options).run());
    print("equal shares" + suffix, options,
          limit_replay::simulator<limit_replay::equal_shares>(options).run());
}

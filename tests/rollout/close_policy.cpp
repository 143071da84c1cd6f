#include "coursejunction/rollout/close_policy.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Lets sides of a hall that hear each other close, in rounds.
 * @return How many closed in each round. */
std::vector<std::size_t> rounds(std::size_t count)
{
    const cj::close_limits limits;
    std::vector<cj::hall_peer> all;
    for (std::size_t at = 0; at < count; ++at)
        all.push_back(
            {cj::instance_id("side-" + std::to_string(at)), false, true});
    std::vector<std::size_t> closed_each;
    for (int round = 0; round < 20; ++round)
    {
        std::size_t closed = 0;
        for (auto& one : all)
        {
            std::vector<cj::hall_peer> others;
            for (const auto& other : all)
            {
                if (other.id != one.id)
                    others.push_back(other);
            }
            if (one.ready && !one.closed &&
                cj::may_close(limits, one.id, others, "m2", 3s))
            {
                one.closed = true;
                ++closed;
            }
        }
        for (auto& one : all)
        {
            if (one.closed)
                one = {one.id, false, false};
        }
        if (closed == 0)
            break;
        closed_each.push_back(closed);
    }
    return closed_each;
}

} // namespace

SCENARIO("a hall's upstreams close in turns", "[rollout]")
{
    THEN("a third at once, until all have")
    {
        CHECK(rounds(6) == std::vector<std::size_t>{2, 2, 2});
        CHECK(rounds(4) == std::vector<std::size_t>{1, 1, 1, 1});
        CHECK(rounds(1) == std::vector<std::size_t>{1});
    }
    THEN("one whose weights are not whole yet holds nobody up")
    {
        const cj::close_limits limits;
        std::vector<cj::hall_peer> others;
        for (int at = 0; at < 5; ++at)
            others.push_back(
                {cj::instance_id("side-" + std::to_string(at)), false, false});
        CHECK(cj::may_close(limits, cj::instance_id("z"), others, "m2", 3s));
    }
    THEN("late ones close whatever the others do")
    {
        const cj::close_limits limits;
        const std::vector<cj::hall_peer> others{
            {cj::instance_id("a"), true, true},
            {cj::instance_id("b"), true, true}};
        CHECK_FALSE(
            cj::may_close(limits, cj::instance_id("c"), others, "m2", 3s));
        CHECK(cj::may_close(limits, cj::instance_id("c"), others, "m2",
                            limits.close_deadline));
    }
}

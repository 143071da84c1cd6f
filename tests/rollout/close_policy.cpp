#include "coursejunction/rollout/close_policy.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Runs a rolling update in a hall whose sidecars all receive each
 * other's messages.
 * @return How many closed in each round. */
std::vector<std::size_t> closed_per_round(std::size_t count)
{
    const cj::close_limits limits;
    std::vector<cj::hall_peer> sidecars;
    for (std::size_t number = 0; number < count; ++number)
        sidecars.push_back(
            {cj::instance_id("side-" + std::to_string(number)), false, true});
    std::vector<std::size_t> closed_counts;
    for (int round = 0; round < 20; ++round)
    {
        std::size_t closed = 0;
        for (auto& sidecar : sidecars)
        {
            std::vector<cj::hall_peer> others;
            for (const auto& other : sidecars)
            {
                if (other.id != sidecar.id)
                    others.push_back(other);
            }
            if (sidecar.ready && !sidecar.closed &&
                cj::may_close(limits, sidecar.id, others, "m2", 3s))
            {
                sidecar.closed = true;
                ++closed;
            }
        }
        for (auto& sidecar : sidecars)
        {
            if (sidecar.closed)
                sidecar = {sidecar.id, false, false};
        }
        if (closed == 0)
            break;
        closed_counts.push_back(closed);
    }
    return closed_counts;
}

} // namespace

SCENARIO("the upstreams of a hall close in rounds", "[rollout]")
{
    THEN("a third of them at once, until all have closed")
    {
        CHECK(closed_per_round(6) == std::vector<std::size_t>{2, 2, 2});
        CHECK(closed_per_round(4) == std::vector<std::size_t>{1, 1, 1, 1});
        CHECK(closed_per_round(1) == std::vector<std::size_t>{1});
    }
    THEN("a sidecar with an incomplete version holds up no other one")
    {
        const cj::close_limits limits;
        std::vector<cj::hall_peer> others;
        for (int number = 0; number < 5; ++number)
            others.push_back({cj::instance_id("side-" + std::to_string(number)),
                              false, false});
        CHECK(cj::may_close(limits, cj::instance_id("z"), others, "m2", 3s));
    }
    THEN("after the deadline a sidecar closes whatever the others do")
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

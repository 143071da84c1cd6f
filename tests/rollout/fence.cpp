#include "coursejunction/rollout/fence.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("only the newest holder orders", "[rollout]")
{
    cj::time_point now{10s};
    for (const bool checked : {true, false})
    {
        cj::fence guard(checked);
        CHECK(guard.state() == cj::fence_state::none);
        guard.tick(now);
        guard.token_acquired(cj::fencing_token(7));
        REQUIRE(guard.state() == cj::fence_state::held);

        WHEN("the process was paused, upstream checks: " << checked)
        {
            CHECK_FALSE(guard.tick(now + 100ms));
            CHECK(guard.tick(now + 5s));
            THEN("an upstream that does not check needs a confirmation")
            {
                CHECK(guard.state() == (checked
                                            ? cj::fence_state::held
                                            : cj::fence_state::unconfirmed));
            }
            THEN("a later token found then ends its orders for good")
            {
                guard.newest_token_read(cj::fencing_token(8));
                CHECK(guard.state() == cj::fence_state::lost);
                guard.newest_token_read(cj::fencing_token(7));
                CHECK(guard.state() == cj::fence_state::lost);
            }
            THEN("its own token found then lets it go on")
            {
                guard.newest_token_read(cj::fencing_token(7));
                CHECK(guard.state() == cj::fence_state::held);
            }
        }
        WHEN("an order was given, upstream checks: " << checked)
        {
            // Another may have taken over in a pause too short to notice.
            guard.command_sent();
            CHECK(guard.state() == (checked ? cj::fence_state::held
                                            : cj::fence_state::unconfirmed));
            guard.service_unreachable();
            CHECK(guard.state() == cj::fence_state::held);
            guard.command_sent();
            guard.tick(now + 5s);
            guard.service_unreachable();
            CHECK(guard.state() == (checked ? cj::fence_state::held
                                            : cj::fence_state::unconfirmed));
        }
        WHEN("the upstream refuses the token, checks: " << checked)
        {
            guard.token_rejected();
            CHECK(guard.state() == cj::fence_state::lost);
        }
    }
}

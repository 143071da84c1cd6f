#include "coursejunction/rollout/fence.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("only the holder of the newest token sends commands", "[rollout]")
{
    cj::time_point now{10s};
    for (const bool checked : {true, false})
    {
        cj::fence guard(checked);
        CHECK(guard.state() == cj::fence_state::none);
        guard.tick(now);
        guard.token_acquired(cj::fencing_token(7));
        REQUIRE(guard.state() == cj::fence_state::held);

        WHEN("the process was suspended, upstream checks tokens: " << checked)
        {
            CHECK_FALSE(guard.tick(now + 100ms));
            CHECK(guard.tick(now + 5s));
            THEN("the token is read again only if the upstream does not check "
                 "it")
            {
                CHECK(guard.state() == (checked
                                            ? cj::fence_state::held
                                            : cj::fence_state::unconfirmed));
            }
            THEN("after a later token was read it never sends again")
            {
                guard.newest_token_read(cj::fencing_token(8));
                CHECK(guard.state() == cj::fence_state::lost);
                guard.newest_token_read(cj::fencing_token(7));
                CHECK(guard.state() == cj::fence_state::lost);
            }
            THEN("its own token that is read lets it go on")
            {
                guard.newest_token_read(cj::fencing_token(7));
                CHECK(guard.state() == cj::fence_state::held);
            }
        }
        WHEN("a command was sent, upstream checks tokens: " << checked)
        {
            // Another process may have taken over in a suspension too short to
            // detect.
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
        WHEN("the upstream refuses the token, checks tokens: " << checked)
        {
            guard.token_rejected();
            CHECK(guard.state() == cj::fence_state::lost);
        }
    }
}

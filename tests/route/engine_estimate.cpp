#include "coursejunction/route/engine_estimate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

namespace
{

cj::engine_profile engine()
{
    cj::engine_profile one;
    one.slots = 16;
    one.step_ms = 8.87;
    one.step_ms_per_request = 0.0388;
    one.step_ms_per_kilotoken = 0.0227;
    one.prefill_tokens_per_ms = 19.1;
    one.prefill_ms_per_million_pairs = 1.47;
    one.prefill_chunk_tokens = 2048;
    one.tokens_per_pass = 5;
    one.typical_prompt_tokens = 977;
    one.typical_answer_tokens = 94;
    return one;
}

} // namespace

SCENARIO("the first event is predicted from an engine's own figures", "[route]")
{
    const auto one = engine();
    cj::engine_load idle;

    THEN("an idle engine reads the prompt and writes one stride")
    {
        const auto ms = cj::first_event_ms(one, idle, 1000);
        CHECK(ms > 1000 / 19.1 + 5 * 8.87);
        CHECK(ms < 150);
    }
    THEN("a full engine makes the request wait for a place")
    {
        cj::engine_load full;
        full.running = 16;
        CHECK(cj::first_event_ms(one, full, 1000) >
              cj::first_event_ms(one, idle, 1000) + 90);
    }
    THEN("a slow engine takes as many times longer")
    {
        cj::engine_load slow;
        slow.pace = 3;
        CHECK(cj::first_event_ms(one, slow, 1000) ==
              Approx(3 * cj::first_event_ms(one, idle, 1000)));
    }
}

TEST_CASE("more work never makes a first event sooner", "[route]")
{
    rc::prop("monotone",
             []
             {
                 const auto one = engine();
                 cj::engine_load less;
                 less.running = *rc::gen::inRange(0, 40);
                 less.unread_tokens = *rc::gen::inRange(0, 20'000);
                 auto more = less;
                 more.running += *rc::gen::inRange(0, 10);
                 more.unread_tokens += *rc::gen::inRange(0, 5000);
                 const auto prompt = *rc::gen::inRange(1, 4000);
                 RC_ASSERT(cj::first_event_ms(one, less, prompt) <=
                           cj::first_event_ms(one, more, prompt) + 1e-9);
             });
}

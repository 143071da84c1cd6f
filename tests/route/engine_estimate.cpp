#include "coursejunction/route/engine_estimate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

namespace
{

cj::engine_profile engine()
{
    cj::engine_profile profile;
    profile.slots = 16;
    profile.step_ms = 8.87;
    profile.step_ms_per_request = 0.0388;
    profile.step_ms_per_kilotoken = 0.0227;
    profile.prefill_tokens_per_ms = 19.1;
    profile.prefill_ms_per_million_pairs = 1.47;
    profile.prefill_chunk_tokens = 2048;
    profile.tokens_per_pass = 5;
    profile.typical_prompt_tokens = 977;
    profile.typical_answer_tokens = 94;
    return profile;
}

} // namespace

SCENARIO("prediction of the first event from the engine's profile", "[route]")
{
    const auto profile = engine();
    cj::engine_load idle;

    THEN("an idle engine reads the prompt and decodes the first tokens")
    {
        const auto ms = cj::first_event_ms(profile, idle, 1000);
        CHECK(ms > 1000 / 19.1 + 5 * 8.87);
        CHECK(ms < 150);
    }
    THEN("a request to a full engine waits for a slot")
    {
        cj::engine_load full;
        full.running = 16;
        CHECK(cj::first_event_ms(profile, full, 1000) >
              cj::first_event_ms(profile, idle, 1000) + 90);
    }
    THEN("a slow engine takes longer by its pace factor")
    {
        cj::engine_load slow;
        slow.pace = 3;
        CHECK(cj::first_event_ms(profile, slow, 1000) ==
              Approx(3 * cj::first_event_ms(profile, idle, 1000)));
    }
}

TEST_CASE("more load never makes the predicted first event sooner", "[route]")
{
    rc::prop("the prediction does not decrease as load grows",
             []
             {
                 const auto profile = engine();
                 cj::engine_load less;
                 less.running = *rc::gen::inRange(0, 40);
                 less.unread_tokens = *rc::gen::inRange(0, 20'000);
                 auto more = less;
                 more.running += *rc::gen::inRange(0, 10);
                 more.unread_tokens += *rc::gen::inRange(0, 5000);
                 const auto prompt = *rc::gen::inRange(1, 4000);
                 RC_ASSERT(cj::first_event_ms(profile, less, prompt) <=
                           cj::first_event_ms(profile, more, prompt) + 1e-9);
             });
}

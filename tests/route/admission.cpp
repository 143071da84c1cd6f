#include "coursejunction/route/admission.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::engine_profile engine()
{
    cj::engine_profile result;
    result.slots = 16;
    result.step_ms = 7;
    result.prefill_tokens_per_ms = 30;
    result.tokens_per_pass = 6;
    result.typical_answer_tokens = 120;
    return result;
}

/*! @brief Refuses every other request for one second. */
void refuse_half(cj::admission& control, cj::time_point from)
{
    for (int number = 0; number < 50; ++number)
    {
        const auto now = from + number * 20ms;
        control.record_arrival(400ms, now);
        control.record_arrival(300ms, now);
        control.record_refusal(now);
    }
}

} // namespace

SCENARIO("admission limits for a request to an engine", "[route]")
{
    cj::admission control;
    const cj::time_point start{100s};
    control.record_arrival(300ms, start);
    control.record_arrival(400ms, start);

    GIVEN("no overload")
    {
        THEN("a new request only needs to meet its own target")
        {
            const auto limits = control.limits(engine(), 400ms, 0ms, start);
            CHECK(limits.first_event_ms == Approx(460));
            CHECK(limits.typical_first_event_ms == Approx(460));
        }
        THEN("a quick client retry has only the rest of its target")
        {
            const auto limits = control.limits(engine(), 400ms, 150ms, start);
            CHECK(limits.first_event_ms == Approx(310));
        }
        THEN("a client that returns when it was told to is treated like other "
             "late ones")
        {
            CHECK(control.limits(engine(), 400ms, 900ms, start, {}, true)
                      .max_in_flight ==
                  control.limits(engine(), 400ms, 900ms, start).max_in_flight);
        }
        THEN("a request that can no longer meet its target needs a free slot "
             "only")
        {
            const auto limits = control.limits(engine(), 400ms, 900ms, start);
            CHECK(limits.first_event_ms > 1e9);
            CHECK(limits.max_in_flight < 16);
        }
    }
    GIVEN("half of the new requests are refused")
    {
        refuse_half(control, start);
        const auto now = start + 1s;
        THEN("the tightest target limits requests of all kinds")
        {
            CHECK(control.limits(engine(), 400ms, 0ms, now)
                      .typical_first_event_ms == Approx(300));
            CHECK(control.limits(engine(), 300ms, 0ms, now)
                      .typical_first_event_ms == Approx(300));
        }
        THEN("a long prompt may still use its own target")
        {
            CHECK(control.limits(engine(), 400ms, 0ms, now).first_event_ms ==
                  Approx(460));
        }
        THEN("a target that hardly any request has does not count")
        {
            control.record_arrival(50ms, now);
            CHECK(control.limits(engine(), 400ms, 0ms, now)
                      .typical_first_event_ms == Approx(300));
        }
        // Guards against clients that return as told being refused again while
        // slots are idle, and against their taking all slots from new ones.
        THEN("a client that returns when it was told to finds room that other "
             "late ones do not, but not all of it")
        {
            const auto other =
                control.limits(engine(), 400ms, 2s, now).max_in_flight;
            const auto returning =
                control.limits(engine(), 400ms, 2s, now, {}, true)
                    .max_in_flight;
            CHECK(returning > other + 3);
            CHECK(returning < 16 - 2);
        }
        THEN("the refusal ratio drops soon after the last refusals")
        {
            CHECK(control.refusal_ratio(now + 5s) < 0.01);
        }
    }
    GIVEN("a target shorter than the time of the first event in the last free "
          "slot")
    {
        cj::admission tight;
        tight.record_arrival(20ms, start);
        for (int number = 0; number < 20; ++number)
        {
            tight.record_arrival(20ms, start);
            tight.record_refusal(start);
        }
        THEN("the slot is used nevertheless")
        {
            CHECK(tight.limits(engine(), 400ms, 0ms, start)
                      .typical_first_event_ms >=
                  cj::last_slot_ms(engine()) - 0.001);
        }
    }
}

SCENARIO("Retry-After of refused requests", "[route]")
{
    cj::admission control;
    const cj::time_point start{100s};

    GIVEN("a single refusal")
    {
        control.record_arrival(400ms, start);
        control.record_refusal(start);
        THEN("the client is asked to retry soon")
        {
            CHECK(control.retry_after(6s, start) == 200ms);
        }
    }
    GIVEN("an overload")
    {
        refuse_half(control, start);
        const auto now = start + 980ms;
        THEN("the client is asked to retry as late as clients accept")
        {
            CHECK(control.retry_after(6s, now) == 2s);
            CHECK(control.retry_after(1500ms, now) == 500ms);
        }
        THEN("the client is asked to retry soon once the refusals are over")
        {
            CHECK(control.retry_after(6s, now + 5s) < 250ms);
        }
    }
}

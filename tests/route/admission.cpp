#include "coursejunction/route/admission.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::engine_profile engine()
{
    cj::engine_profile made;
    made.slots = 16;
    made.step_ms = 7;
    made.prefill_tokens_per_ms = 30;
    made.tokens_per_pass = 6;
    made.typical_answer_tokens = 120;
    return made;
}

/*! @brief Every second request of a second is refused. */
void refuse_half(cj::admission& gate, cj::time_point from)
{
    for (int number = 0; number < 50; ++number)
    {
        const auto now = from + number * 20ms;
        gate.record_arrival(400ms, now);
        gate.record_arrival(300ms, now);
        gate.record_refusal(now);
    }
}

} // namespace

SCENARIO("what an engine must be able to do for a request", "[route]")
{
    cj::admission gate;
    const cj::time_point start{100s};
    gate.record_arrival(300ms, start);
    gate.record_arrival(400ms, start);

    GIVEN("no overload")
    {
        THEN("a new request needs its own target only")
        {
            const auto limits = gate.limits(engine(), 400ms, 0ms, start);
            CHECK(limits.first_event_ms == Approx(460));
            CHECK(limits.typical_first_event_ms == Approx(460));
        }
        THEN("one that comes back quickly has what is left of its target")
        {
            const auto limits = gate.limits(engine(), 400ms, 150ms, start);
            CHECK(limits.first_event_ms == Approx(310));
        }
        THEN("one whose target is lost needs a free place, not a time")
        {
            const auto limits = gate.limits(engine(), 400ms, 900ms, start);
            CHECK(limits.first_event_ms > 1e9);
            CHECK(limits.max_in_flight < 16);
        }
    }
    GIVEN("half of the new requests are refused")
    {
        refuse_half(gate, start);
        const auto now = start + 1s;
        THEN("the tightest target counts for all kinds")
        {
            CHECK(
                gate.limits(engine(), 400ms, 0ms, now).typical_first_event_ms ==
                Approx(300));
            CHECK(
                gate.limits(engine(), 300ms, 0ms, now).typical_first_event_ms ==
                Approx(300));
        }
        THEN("a long prompt may still use its own target")
        {
            CHECK(gate.limits(engine(), 400ms, 0ms, now).first_event_ms ==
                  Approx(460));
        }
        THEN("a target that hardly anybody has doesn't count")
        {
            gate.record_arrival(50ms, now);
            CHECK(
                gate.limits(engine(), 400ms, 0ms, now).typical_first_event_ms ==
                Approx(300));
        }
        THEN("calm returns with the last refusals")
        {
            CHECK(gate.refusal_ratio(now + 5s) < 0.01);
        }
    }
    GIVEN("a target shorter than a free place takes")
    {
        cj::admission tight;
        tight.record_arrival(20ms, start);
        for (int number = 0; number < 20; ++number)
        {
            tight.record_arrival(20ms, start);
            tight.record_refusal(start);
        }
        THEN("no place stays empty for it")
        {
            CHECK(tight.limits(engine(), 400ms, 0ms, start)
                      .typical_first_event_ms >=
                  cj::last_slot_ms(engine()) - 0.001);
        }
    }
}

SCENARIO("when a refused caller should come back", "[route]")
{
    cj::admission gate;
    const cj::time_point start{100s};

    GIVEN("a lone refusal")
    {
        gate.record_arrival(400ms, start);
        gate.record_refusal(start);
        THEN("a place is found soon")
        {
            CHECK(gate.retry_after(6s, start) == 200ms);
        }
    }
    GIVEN("an overload")
    {
        refuse_half(gate, start);
        const auto now = start + 980ms;
        THEN("the later the better, up to what callers heed")
        {
            CHECK(gate.retry_after(6s, now) == 2s);
            CHECK(gate.retry_after(1500ms, now) == 500ms);
        }
        THEN("soon again when nobody was refused for a while")
        {
            CHECK(gate.retry_after(6s, now + 5s) < 250ms);
        }
    }
}

#include "transfer/origin_simulation.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/transfer/chunk_transfer_options.hpp"

namespace cj = coursejunction;
using origin_simulation::outcome;
using origin_simulation::simulator;
using origin_simulation::transfer_pattern;

namespace
{

constexpr double chunk_bits = 32'768.0 * 8;

/*! @brief Returns three halls of 15 sidecars and an origin, with the limits
 * that a transfer uses.
 * @param rate Of the link of the origin, in bits per second. */
transfer_pattern transfer_from(double rate)
{
    const cj::chunk_transfer_options options;
    constexpr double ms = 1000;
    constexpr double bits = 8;
    transfer_pattern result;
    result.origin_chunk_ms = chunk_bits / rate * ms;
    result.limits.min_stall_time = options.stall_time;
    result.limits.max_origin_backoff = options.max_origin_backoff;
    result.limits.single_copy_delay = options.single_copy_delay;
    result.limits.first_copy_delay = cj::first_copy_delay(
        options, static_cast<std::uint64_t>(result.chunks) * 32'768,
        rate / bits);
    result.limits.slow_chunk_time = options.slow_chunk_time;
    result.limits.origin_calls_time_out = true;
    result.limits.max_holder_requests = options.max_holder_calls;
    result.limits.max_origin_requests = 2;
    result.limits.max_waiting_requests = 8;
    return result;
}

/*! @brief Returns how long the link of the origin takes to send the version
 * once, in ms. */
double copy_ms(const transfer_pattern& one)
{
    return one.origin_chunk_ms * static_cast<double>(one.chunks);
}

} // namespace

// Guards against stand-ins that ask a slow origin while it still sends. They
// asked for every chunk that their hall lacked after 2.3 s; an origin that
// needs 2.8 s for one copy then sent every fifth chunk twice, and the version
// was complete 0.5 s later.
SCENARIO("a slow origin sends each chunk about once", "[transfer]")
{
    constexpr double max_copies = 1.15;
    constexpr double max_bound_ratio = 1.15;
    const auto rate = GENERATE(5.94e6, 9.9e6);
    auto pattern = transfer_from(rate);
    const auto bound = copy_ms(pattern);

    GIVEN("an origin without an outage")
    {
        const auto result = simulator(pattern).run();
        CHECK(result.copies < max_copies);
        CHECK(result.last_sent_ms < max_bound_ratio * bound);
    }
    GIVEN("an outage of 6 s after a third of the chunks")
    {
        pattern.outage_start = bound / 3;
        pattern.outage_end = pattern.outage_start + 6000;
        const auto result = simulator(pattern).run();
        CHECK(result.copies < max_copies);
        CHECK(result.last_sent_ms - pattern.outage_end <
              max_bound_ratio * bound * 2 / 3);
    }
    GIVEN("an outage during the first 4 s")
    {
        pattern.outage_start = 0;
        pattern.outage_end = 4000;
        const auto result = simulator(pattern).run();
        CHECK(result.copies < max_copies);
        CHECK(result.last_sent_ms - pattern.outage_end <
              max_bound_ratio * bound);
    }
}

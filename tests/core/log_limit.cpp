#include "coursejunction/core/log_limit.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

// A busy process wrote a line about dropped lines beside each of its lines, as
// one was dropped between any two.
SCENARIO("dropped log lines are reported once a second", "[core]")
{
    cj::log_limit limit(100);
    const cj::time_point start{100s};
    int written = 0;
    std::uint64_t reports = 0;
    std::uint64_t reported = 0;
    for (auto now = start; now < start + 3s; now += 2ms)
    {
        if (!limit.take(now))
            continue;
        ++written;
        const auto dropped = limit.take_report(now);
        reports += dropped > 0 ? 1 : 0;
        reported += dropped;
    }
    CHECK(reports == 3);
    reported += limit.take_report(start + 4s);
    CHECK(written + reported == 1500);
    CHECK(limit.take_report(start + 6s) == 0);
}

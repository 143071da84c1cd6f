#include "coursejunction/cli/rollout_progress.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

SCENARIO("a progress line estimates the time left from the average rate",
         "[cli]")
{
    cj::rollout_progress progress;
    const cj::time_point start{10s};
    progress.add_sample({4, 0, 0, 400, 0}, start);
    CHECK_FALSE(progress.seconds_left());
    progress.add_sample({4, 1, 100, 400, 1U << 20U}, start + 10s);
    CHECK(progress.seconds_left() == Approx(30));
    CHECK(progress.line() ==
          "1/4 serving, 25% of bytes, 1.0 MiB from origin, about 30 s left");
}

#include "coursejunction/core/guarded.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("a guarded callback does nothing once its owner is destroyed",
         "[core]")
{
    int sum = 0;
    auto owner = std::make_shared<int>(1);
    const auto call = cj::guarded_by(std::weak_ptr<int>(owner),
                                     [&](int value) { sum += value; });
    call(2);
    CHECK(sum == 2);
    owner.reset();
    call(3);
    CHECK(sum == 2);
}

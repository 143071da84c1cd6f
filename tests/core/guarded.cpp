#include "coursejunction/core/guarded.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("a callback does nothing once its owner is gone", "[core]")
{
    int seen = 0;
    auto owner = std::make_shared<int>(1);
    const auto call = cj::guarded_by(std::weak_ptr<int>(owner),
                                     [&](int value) { seen += value; });
    call(2);
    CHECK(seen == 2);
    owner.reset();
    call(3);
    CHECK(seen == 2);
}

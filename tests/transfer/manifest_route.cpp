#include "coursejunction/transfer/manifest_route.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace coursejunction;

TEST_CASE("manifests are passed down a tree in each hall")
{
    std::vector<participant> all;
    for (int index = 0; index < 60; ++index)
        all.push_back({instance_id("side-" + std::to_string(index)),
                       hall_id(index < 25 ? "north" : "south"),
                       region_id("r")});

    SECTION(
        "one sidecar asks the origin, one of each other hall asks that one, "
        "and the others ask a sidecar of their hall")
    {
        std::vector<instance_id> roots;
        std::map<instance_id, std::size_t> calls;
        std::size_t from_other_hall = 0;
        for (const auto& one : all)
        {
            const auto sources = manifest_sources("tutor 2", all, one.id);
            if (sources.empty())
            {
                roots.push_back(one.id);
                continue;
            }
            ++calls[sources.front()];
            REQUIRE(sources.size() <= 4);
            const auto found =
                std::find_if(all.begin(), all.end(),
                             [&](const participant& other)
                             { return other.id == sources.front(); });
            REQUIRE(found->id != one.id);
            from_other_hall += found->hall == one.hall ? 0 : 1;
        }
        REQUIRE(roots.size() == 1);
        REQUIRE(from_other_hall == 1);
        for (const auto& [id, count] : calls)
            REQUIRE(count <= manifest_arity + 1);
    }
    SECTION("a sidecar that is not listed yet asks the origin")
    {
        REQUIRE(manifest_sources("tutor 2", all, instance_id("new")).empty());
    }
}
